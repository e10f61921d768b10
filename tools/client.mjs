// Generates the callers' types from our own schemas; with --check, fails if the file in the tree is another.
import { FleetConfiguration as Charter, Verdict } from '@pumicebarrow/forms';
import { AnswerLine, ClientRequest as Request } from '@pumicebarrow/counter';
import { compile } from 'json-schema-to-typescript';
import { readFileSync, writeFileSync } from 'node:fs';

const path = 'packages/client/src/generated.ts';
let text = '// Made by tools/client.mjs from the schemas of forms and counter. Not to be edited.\n';
for (const [name, form] of Object.entries({ Request, AnswerLine, Verdict, Charter })) {
  const plain = JSON.parse(JSON.stringify(form));
  const strip = (v) => { if (v && typeof v === 'object') { if (!Array.isArray(v)) delete v.maxItems; Object.values(v).forEach(strip); } return v; };
  text += `\n${await compile(strip(plain), name, { bannerComment: '', additionalProperties: false, declareExternallyReferenced: false })}`;
}
if (process.argv.includes('--check')) {
  const same = readFileSync(path, 'utf8') === text;
  console.log(same ? 'client: the generated types match the schemas' : 'client: the generated types do not match; run node tools/client.mjs');
  process.exit(same ? 0 : 1);
}
writeFileSync(path, text);
