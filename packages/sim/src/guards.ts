import { SchemaCheck } from '@pumicebarrow/forms';
import { readFileSync } from 'node:fs';
import { Type } from 'typebox';
import { Guard } from './guard.js';

const read = (): readonly Guard[] => {
  const text = readFileSync(new URL('../guards.json', import.meta.url), 'utf8');
  const got = SchemaCheck.parse(Type.Array(Guard), JSON.parse(text) as unknown);
  if (got.err) throw new Error(`guards.json: ${got.val.map((f) => `${f.path} ${f.why}`).join('; ')}`);
  return got.val;
};

/** The guards that docs/design.md names, each with a run that breaks without it. */
export const Guards: readonly Guard[] = read();
