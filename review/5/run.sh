#!/bin/bash
cd "$(dirname "$0")/../.." && exec node review/5/run.js
