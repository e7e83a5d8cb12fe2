#!/bin/bash
cd "$(dirname "$0")/../.." && exec node review/3/run.js
