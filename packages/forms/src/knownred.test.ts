import { expect } from 'chai';
import { execFile } from 'node:child_process';
import { mkdtemp, rm, writeFile } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join, resolve } from 'node:path';

const SPEC = "describe('a', () => { it('good', () => {}); it('bad', () => { throw new Error('x'); }); });";
const cases: [string, string, string, number, string][] = [
  ['an unlisted test that fails', '# none\n', SPEC, 1, 'fails and is not listed: a bad'],
  ['a listed test that fails', '# one\na bad\n', SPEC, 0, 'known red: a bad'],
  ['a listed test that passes', 'a bad\na good\n', SPEC, 1, 'is listed and passes: a good'],
  ['a listed test that is not there', 'a bad\na gone\n', SPEC, 1, 'is listed and did not run: a gone'],
  ['a listed test that is skipped', 'a good\n', SPEC.replaceAll('it(', 'it.skip('), 1, 'did not run: a good'],
  [
    'a hook that fails',
    '',
    SPEC.replace("it('bad', () =>", 'beforeEach(() =>'),
    1,
    'fails and is not listed: a "before each" hook for "good"',
  ],
  ['no tests', '', '', 1, 'no test ran'],
];

describe('The list of tests known to fail', () => {
  for (const [name, list, spec, code, says] of cases) {
    it(`with ${name} gives ${code}`, async () => {
      const dir = await mkdtemp(join(tmpdir(), 'knownred-'));
      await writeFile(join(dir, 'list.txt'), list);
      await writeFile(join(dir, 'spec.cjs'), spec);
      const got = await new Promise<{ code: number; text: string }>((done) => {
        execFile(
          process.execPath,
          ['tools/knownred.mjs', join(dir, 'list.txt'), join(dir, 'spec.cjs')],
          (e, out, err) => done({ code: e ? Number(e.code) : 0, text: out + err }),
        );
      });
      expect(got.text).to.include(says);
      expect(got.code).to.equal(code);
      await rm(dir, { recursive: true });
    });
  }

  it('finds the tests by the patterns of .mocharc.json, where none are named', async () => {
    const dir = await mkdtemp(join(tmpdir(), 'knownred-'));
    await writeFile(join(dir, '.mocharc.json'), '{ "spec": ["*.spec.cjs"] }');
    await writeFile(join(dir, 'list.txt'), 'a bad\n');
    await writeFile(join(dir, 'one.spec.cjs'), SPEC);
    const got = await new Promise<{ code: number; text: string }>((done) => {
      execFile(process.execPath, [resolve('tools/knownred.mjs'), 'list.txt'], { cwd: dir }, (e, out, err) =>
        done({ code: e ? Number(e.code) : 0, text: out + err }),
      );
    });
    expect(got.text).to.include('known red: a bad');
    expect(got.code).to.equal(0);
    await rm(dir, { recursive: true });
  });
});
