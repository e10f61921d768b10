import { expect } from 'chai';
import { execFile } from 'node:child_process';
import { fileURLToPath } from 'node:url';

const cases: [string, string[]][] = [
  ['purge', ['d0 holds it: origin', 'all five hold it']],
  [
    'registry',
    ['Plan first is version 1.', 'Plan second lost to version 1; it will never take hold.', 'the tail has version 1'],
  ],
  ['counter', ['a second try: sent', 'piece 1 came after piece 1', 'turn: verdict\nturn: review']],
];

describe('The examples of embedding', () => {
  for (const [name, lines] of cases) {
    it(`run: ${name}`, async () => {
      const file = fileURLToPath(new URL(`../../../examples/${name}.mjs`, import.meta.url));
      const text = await new Promise<string>((done, fail) => {
        execFile(process.execPath, [file], (e, out, err) => {
          if (e) fail(new Error(err));
          else done(out);
        });
      });
      for (const l of lines) expect(text).to.contain(l);
    });
  }
});
