#!/bin/sh
# Builds the review's stand-ins. Needs the packages of the deploy file only.
set -eu
cd "$(dirname "$0")"
mkdir -p bin
for source in */case.cpp; do
  n=${source%/case.cpp}
  if [ ! -e "bin/case-$n" ] || [ "$source" -nt "bin/case-$n" ] || [ kit.h -nt "bin/case-$n" ]; then
    g++ -std=c++20 -O1 -g -pthread -Wall -Wextra -Wno-psabi -Wno-missing-field-initializers -I. \
      -o "bin/case-$n" "$source"
  fi
done
