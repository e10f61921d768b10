import { expect } from 'chai';
import { execFile } from 'node:child_process';
import { mkdtemp, rm, writeFile } from 'node:fs/promises';
import { availableParallelism, tmpdir } from 'node:os';
import { join, resolve } from 'node:path';

const SPEC = "describe('a', () => { it('good', () => {}); it('bad', () => { throw new Error('x'); }); });";
const bad = (body: string): string => SPEC.replace("throw new Error('x');", body);
/** Only the process that finds the tests has no one to send to. */
const more = (where: 'found' | 'run', title: string): string =>
  SPEC.replace("it('good'", `if (${where === 'run' ? '' : '!'}process.send) it('${title}', () => {}); it('good'`);
const cases: [string, string, string | readonly string[], number, string, string][] = [
  ['an unlisted test that fails', '# none\n', SPEC, 1, 'fails and is not listed: a bad', '1 passed, 1 failed'],
  ['a listed test that fails', '# one\na bad\n', SPEC, 0, 'known red: a bad', '1 passed, 1 failed'],
  ['a listed test that passes', 'a bad\na good\n', SPEC, 1, 'is listed and passes: a good', '1 passed, 1 failed'],
  [
    'a listed test that is not there',
    'a bad\na gone\n',
    SPEC,
    1,
    'is listed and did not run: a gone',
    '1 passed, 1 failed',
  ],
  [
    'a listed test that is skipped',
    'a good\n',
    SPEC.replaceAll('it(', 'it.skip('),
    1,
    'did not run: a good',
    '0 passed, 0 failed, 2 skipped',
  ],
  [
    'a hook that fails',
    '',
    SPEC.replace("it('bad', () =>", 'beforeEach(() =>'),
    1,
    'fails and is not listed: a "before each" hook for "good"',
    '0 passed, 2 failed',
  ],
  ['no tests', '', '', 1, 'no test ran', '0 passed, 0 failed'],
  ['tests that all pass', '', bad(''), 0, 'a bad', '2 passed, 0 failed'],
  [
    'a process that ends in a test',
    '',
    bad('process.exit(0);'),
    1,
    '0 before its end, in: a bad',
    '1 passed, 1 failed',
  ],
  [
    'a process that is killed in a test',
    '',
    bad("process.kill(process.pid, 'SIGKILL'); for (;;);"),
    1,
    'SIGKILL before its end, in: a bad',
    '1 passed, 1 failed',
  ],
  [
    'a process that ends in a listed test',
    'a bad\n',
    bad('process.exit(1);'),
    1,
    'is listed and did not run: a bad',
    '1 passed, 1 failed',
  ],
  ['a test that is lost', 'a bad\n', more('found', 'lost'), 1, 'did not run: a lost', '1 passed, 2 failed'],
  [
    'a test that is reported twice',
    'a bad\n',
    more('run', 'good'),
    1,
    'was reported 2 times: a good',
    '1 passed, 1 failed',
  ],
  ['two files with one test', 'a bad\n', [SPEC, bad('')], 1, 'is there 2 times: a bad', '1 passed, 1 failed'],
  [
    'tests of two files',
    'a bad\n',
    [SPEC, bad('').replaceAll("'a'", "'b'")],
    0,
    'known red: a bad',
    '3 passed, 1 failed',
  ],
];
type Got = { code: number; out: string; err: string };
const run = (args: readonly string[], more: { cwd?: string; env?: NodeJS.ProcessEnv } = {}): Promise<Got> =>
  new Promise((done) => {
    execFile(process.execPath, args, more, (e, out, err) => done({ code: e ? Number(e.code) : 0, out, err }));
  });

describe('The list of tests known to fail', () => {
  for (const [name, list, specs, code, says, close] of cases) {
    it(`with ${name} gives ${code}`, async () => {
      const dir = await mkdtemp(join(tmpdir(), 'knownred-'));
      const files: string[] = [];
      await writeFile(join(dir, 'list.txt'), list);
      for (const text of typeof specs === 'string' ? [specs] : specs) {
        files.push(join(dir, `spec${files.length}.cjs`));
        await writeFile(files.at(-1)!, text);
      }
      const got = await run(['tools/knownred.mjs', join(dir, 'list.txt'), ...files]);
      expect(got.out + got.err).to.include(says);
      expect(got.out.endsWith(`\n${close}\n`), got.out).to.equal(true);
      expect(got.code).to.equal(code);
      await rm(dir, { recursive: true });
    });
  }

  it('finds the tests by the patterns of .mocharc.json, where none are named', async () => {
    const dir = await mkdtemp(join(tmpdir(), 'knownred-'));
    await writeFile(join(dir, '.mocharc.json'), '{ "spec": ["*.spec.cjs"] }');
    await writeFile(join(dir, 'list.txt'), 'a bad\n');
    await writeFile(join(dir, 'one.spec.cjs'), SPEC);
    const got = await run([resolve('tools/knownred.mjs'), 'list.txt'], { cwd: dir });
    expect(got.out).to.include('known red: a bad');
    expect(got.code).to.equal(0);
    await rm(dir, { recursive: true });
  });
});

describe('A command beside the tests', () => {
  for (const code of [0, 3]) {
    it(`that ends with ${code} gives ${code === 0 ? 0 : 1}`, async () => {
      const dir = await mkdtemp(join(tmpdir(), 'knownred-'));
      await writeFile(join(dir, 'list.txt'), 'a bad\n');
      await writeFile(join(dir, 'spec.cjs'), SPEC);
      const command = `echo said; exit ${code}`;
      const got = await run(['tools/knownred.mjs', '--beside', command, join(dir, 'list.txt'), join(dir, 'spec.cjs')]);
      expect(got.out).to.include(`said\n${command}: ${code}\n`);
      expect(got.out.endsWith('\n1 passed, 1 failed\n'), got.out).to.equal(true);
      expect(got.code).to.equal(code === 0 ? 0 : 1);
      await rm(dir, { recursive: true });
    });
  }
});

describe('The processes that run tests', () => {
  const most = Math.min(8, availableParallelism());
  const counts: [string, string, number][] = [
    ['none asked for', '', most],
    ['one asked for', '1', 1],
    ['very many asked for', '500', most],
    ['no number', 'many', most],
  ];
  for (const [name, asked, count] of counts) {
    it(`are at least one and no more than there are cores, with ${name}`, async () => {
      const script = "import('./tools/tests/cores.mjs').then((m) => console.log(m.Cores.count()))";
      const got = await run(['-e', script], { env: { ...process.env, PUMICEBARROW_WORKERS: asked } });
      expect(Number(got.out)).to.be.within(1, count);
    });
  }
});
