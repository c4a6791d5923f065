#!/usr/bin/env bash
# The stand-ins of the cases are plain modules in review/lib; nothing is compiled. This
# checks that Node can parse them.
cd "$(dirname "$0")" || exit 2
for file in lib/*.js [1-5]/*.js; do
  node --check "$file" || exit 2
done
