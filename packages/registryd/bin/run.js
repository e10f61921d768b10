#!/usr/bin/env node
import { Main } from '../dist/index.js';

await Main.run(process.argv.slice(2));
