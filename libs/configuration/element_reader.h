#pragma once

#include "configuration/document_reader.h"
#include "configuration/elements.h"

namespace boragedoor::config {

/// Which document an element is read from. Questionnaires may leave fields out that have a
/// default; configurations hold every field, and the generated ones as well.
enum class document_form { questionnaire, configuration };

/// Reads one element, notes its name and its references, and reports what is wrong with it.
data_centre read_data_centre(object_reader& from);
request_class read_request_class(object_reader& from, document_form form);
workspace read_workspace(object_reader& from, document_form form);
model read_model(object_reader& from);
/// In a questionnaire trainers stand within their model, `parent`.
trainer read_trainer(object_reader& from, const model* parent);
service read_service(object_reader& from);
pool read_pool(object_reader& from, document_form form);

} // namespace boragedoor::config
