import { expect } from 'chai';
import { execFile } from 'node:child_process';
import { mkdtemp, rm, writeFile } from 'node:fs/promises';
import { availableParallelism, tmpdir } from 'node:os';
import { join, resolve } from 'node:path';

/** A test file with a test that passes and a test that fails. */
const SPEC = "describe('a', () => { it('good', () => {}); it('bad', () => { throw new Error('x'); }); });";
/** The same file with another body of the test `bad`. */
const withBadTest = (body: string): string => SPEC.replace("throw new Error('x');", body);
/**
 * The same file with one more test, either only in the process that finds the tests or only in those that run them. The
 * finding process has no parent process to send to.
 */
const withExtraTest = (where: 'found' | 'run', title: string): string =>
  SPEC.replace("it('good'", `if (${where === 'run' ? '' : '!'}process.send) it('${title}', () => {}); it('good'`);
const cases: [string, string, string | readonly string[], number, string, string][] = [
  ['an unlisted test that fails', '# none\n', SPEC, 1, 'fails and is not listed: a bad', '1 passed, 1 failed'],
  ['a listed test that fails', '# one\na bad\n', SPEC, 0, 'known red: a bad', '1 passed, 1 failed'],
  ['a listed test that passes', 'a bad\na good\n', SPEC, 1, 'is listed and passes: a good', '1 passed, 1 failed'],
  [
    'a listed test that does not exist',
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
  ['tests that all pass', '', withBadTest(''), 0, 'a bad', '2 passed, 0 failed'],
  [
    'a process that exits during a test',
    '',
    withBadTest('process.exit(0);'),
    1,
    '0 before its end, in: a bad',
    '1 passed, 1 failed',
  ],
  [
    'a process that is killed during a test',
    '',
    withBadTest("process.kill(process.pid, 'SIGKILL'); for (;;);"),
    1,
    'SIGKILL before its end, in: a bad',
    '1 passed, 1 failed',
  ],
  [
    'a process that exits during a listed test',
    'a bad\n',
    withBadTest('process.exit(1);'),
    1,
    'is listed and did not run: a bad',
    '1 passed, 1 failed',
  ],
  [
    'a test that was found but never reported',
    'a bad\n',
    withExtraTest('found', 'lost'),
    1,
    'did not run: a lost',
    '1 passed, 2 failed',
  ],
  [
    'a test that is reported twice',
    'a bad\n',
    withExtraTest('run', 'good'),
    1,
    'was reported 2 times: a good',
    '1 passed, 1 failed',
  ],
  [
    'two files with a test of the same title',
    'a bad\n',
    [SPEC, withBadTest('')],
    1,
    'is there 2 times: a bad',
    '1 passed, 1 failed',
  ],
  [
    'two files with tests of different titles',
    'a bad\n',
    [SPEC, withBadTest('').replaceAll("'a'", "'b'")],
    0,
    'known red: a bad',
    '3 passed, 1 failed',
  ],
];
type RunResult = { code: number; out: string; err: string };
const run = (args: readonly string[], options: { cwd?: string; env?: NodeJS.ProcessEnv } = {}): Promise<RunResult> =>
  new Promise((resolveRun) => {
    execFile(process.execPath, args, options, (e, out, err) => resolveRun({ code: e ? Number(e.code) : 0, out, err }));
  });

describe('The test runner with a list of known failures', () => {
  for (const [name, list, specs, code, message, totals] of cases) {
    it(`given ${name}, exits with ${code}`, async () => {
      const dir = await mkdtemp(join(tmpdir(), 'knownred-'));
      const files: string[] = [];
      await writeFile(join(dir, 'list.txt'), list);
      for (const text of typeof specs === 'string' ? [specs] : specs) {
        files.push(join(dir, `spec${files.length}.cjs`));
        await writeFile(files.at(-1)!, text);
      }
      const result = await run(['tools/knownred.mjs', join(dir, 'list.txt'), ...files]);
      expect(result.out + result.err).to.include(message);
      expect(result.out.endsWith(`\n${totals}\n`), result.out).to.equal(true);
      expect(result.code).to.equal(code);
      await rm(dir, { recursive: true });
    });
  }

  it('finds the tests by the patterns of .mocharc.json if no files are given', async () => {
    const dir = await mkdtemp(join(tmpdir(), 'knownred-'));
    await writeFile(join(dir, '.mocharc.json'), '{ "spec": ["*.spec.cjs"] }');
    await writeFile(join(dir, 'list.txt'), 'a bad\n');
    await writeFile(join(dir, 'one.spec.cjs'), SPEC);
    const result = await run([resolve('tools/knownred.mjs'), 'list.txt'], { cwd: dir });
    expect(result.out).to.include('known red: a bad');
    expect(result.code).to.equal(0);
    await rm(dir, { recursive: true });
  });
});

describe('The test runner with a command run beside the tests', () => {
  for (const code of [0, 3]) {
    it(`given a command that exits with ${code}, exits with ${code === 0 ? 0 : 1}`, async () => {
      const dir = await mkdtemp(join(tmpdir(), 'knownred-'));
      await writeFile(join(dir, 'list.txt'), 'a bad\n');
      await writeFile(join(dir, 'spec.cjs'), SPEC);
      const command = `echo said; exit ${code}`;
      const result = await run([
        'tools/knownred.mjs',
        '--beside',
        command,
        join(dir, 'list.txt'),
        join(dir, 'spec.cjs'),
      ]);
      expect(result.out).to.include(`said\n${command}: ${code}\n`);
      expect(result.out.endsWith('\n1 passed, 1 failed\n'), result.out).to.equal(true);
      expect(result.code).to.equal(code === 0 ? 0 : 1);
      await rm(dir, { recursive: true });
    });
  }
});

describe('The number of test processes', () => {
  const maxProcesses = Math.min(8, availableParallelism());
  const counts: [string, string, number][] = [
    ['no number requested', '', maxProcesses],
    ['one requested', '1', 1],
    ['very many requested', '500', maxProcesses],
    ['a request that is not a number', 'many', maxProcesses],
  ];
  for (const [name, requested, count] of counts) {
    it(`is at least one and at most the number of cores, with ${name}`, async () => {
      const script = "import('./tools/tests/cores.mjs').then((m) => console.log(m.Cores.count()))";
      const result = await run(['-e', script], { env: { ...process.env, PUMICEBARROW_WORKERS: requested } });
      expect(Number(result.out)).to.be.within(1, count);
    });
  }
});
