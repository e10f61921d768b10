import { expect } from 'chai';
import { mkdtemp, readFile, rm, writeFile } from 'node:fs/promises';
import { request as call } from 'undici';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { SampleCall } from '@pumicebarrow/platform';
import { ClerkRun } from '../clerkrun.test.js';
import { RoutedPlant } from './routedplant.js';

const PATIENCE = 30_000;
const BOUND = 240_000;

/** Waits until what clerk says fits, for so long at the most; the last words are given in either case. */
const until = async (say: () => Promise<{ text: string }>, fits: (text: string) => boolean): Promise<string> => {
  const end = Date.now() + PATIENCE;
  for (;;) {
    const { text } = await say();
    if (fits(text) || Date.now() > end) return text;
  }
};
const send = async (front: string, id: string): Promise<{ status: number; text: string }> => {
  const headers = SampleCall.headers(id, 6000, 5);
  const r = await call(`http://${front}${SampleCall.path}`, { method: 'POST', headers, body: 'x' });
  return { status: r.statusCode, text: await r.body.text() };
};

describe('clerk at a fleet of routers and control replicas', () => {
  it('plans, confirms, tells the state, the way of a configuration and the story of a request', async () => {
    const dir = await mkdtemp(join(tmpdir(), 'pb-'));
    await RoutedPlant.build();
    const plant = await RoutedPlant.make({ replicas: 3, routers: 2, prefill: 1, decode: 1 }, dir);
    try {
      await plant.start();
      const [k1, r1] = [plant.replicas[0]!.addr, plant.routers[0]!.addr];
      const clerk = (...args: string[]) => ClerkRun.run({ PUMICEBARROW_DAEMONS: `${k1},${r1}` }, ...args);
      const bare = 'The fleet is not well (1):\n  - there is no configuration: plan and confirm one\n';
      const before = await until(
        () => clerk('status'),
        (t) => t.startsWith(bare) && t.includes('  r2 '),
      );
      expect(before).to.match(/Head: k\d at epoch \d+, chain k\d > k\d > k\d\./);
      expect(before.startsWith(bare), before).to.equal(true);

      const text = await readFile(plant.configuration, 'utf8');
      const bad = join(dir, 'bad.json');
      await writeFile(bad, text.replace('"revision": 1', '"revision": "one"'));
      const refused = await clerk('plan', bad);
      expect([refused.code, refused.text]).to.deep.equal([2, '/revision must be integer\n']);
      const planned = await clerk('plan', plant.configuration);
      expect(planned.code, planned.text).to.equal(0);
      const plan = /clerk confirm (\S+)/.exec(planned.text)![1]!;
      expect((await clerk('read', plan)).text).to.equal(`Plan ${plan} is open.\n`);
      expect((await clerk('status')).text).to.include('Configuration in force: none.');
      expect((await clerk('confirm', plan)).code).to.equal(0);
      expect((await clerk('confirm', plan)).code).to.equal(0);
      expect((await clerk('drop', plan)).code).to.equal(1);
      expect((await clerk('read')).text)
        .to.include('"prefix": "/try/"')
        .and.include(`from plan ${plan}.`);
      const control = await call(`http://${plant.replicas[1]!.front}${SampleCall.read}`);
      expect(await control.body.text()).to.equal(text);

      const well = await until(
        () => clerk('status'),
        (t) => t.startsWith('The fleet is well.\n'),
      );
      expect(well.startsWith('The fleet is well.\nHead: k'), well).to.equal(true);
      for (const id of ['k1', 'k2', 'k3', 'r1', 'r2'])
        expect(well).to.match(
          new RegExp(`  ${id} .*revision 1 since 20\\d\\d-.*Z \\(\\d+ m?s\\); list \\d+\\.\\d+ of 2`),
        );
      expect(well).to.include('Servers: 1 read, 1 decode, 2 in all.');
      const trace = await clerk('trace');
      expect(trace.text).to.match(/^Configuration of revision 1: 5 of 5 daemons hold it or a newer one\.\n/);
      expect(trace.text).to.match(/ r1 +pulled it from the sender from \w+, hop \d+/);
      expect((await clerk('trace', 'list')).text).to.match(/^list \d+\.\d+: 5 of 5 daemons hold it/);
      expect((await clerk('trace', '--version', '99')).code).to.equal(1);

      const answer = await send(plant.routers[1]!.front, 'one-1');
      expect(answer.status).to.equal(200);
      expect(answer.text).to.match(/id: 5\n/);
      const story = await clerk('request', 'one-1');
      const said = story.text.split('\n').map((l) => l.replace(/^ +\+ *\d+ ms +r2 +/, '').replace(/, from .*/, ''));
      expect(said).to.deep.equal([
        'Request one-1',
        'took it by route try for service llm, 6000 prompt tokens.',
        'sent it to m1 to be read: the home of its prefix, 3000 tokens to read, 0 ahead of it.',
        'had m1 hold its prompt (6000 tokens) for the hand-over.',
        'sent it to m2 to be run: the prompt handed over by m1, 0 runs beside it.',
        'had the first of the answer from m2.',
        'ended it: whole, it ran.',
        '',
      ]);
      expect((await clerk('request', 'never')).code).to.equal(1);

      await plant.fall('r1', 'SIGKILL');
      const hurt = await until(
        () => clerk('status'),
        (t) => t.includes(`  - ${r1}: nothing listens there\n`),
      );
      expect(hurt)
        .to.include(`  - ${r1}: nothing listens there\n`)
        .and.match(/^The fleet is not well/);
      plant.rise('r1');
      const back = await until(
        () => clerk('status'),
        (t) => t.startsWith('The fleet is well.\n'),
      );
      expect(back.startsWith('The fleet is well.\n'), back).to.equal(true);
      const codes = await plant.stop();
      expect(codes).to.deep.equal({ k1: 0, k2: 0, k3: 0, r1: 0, r2: 0 });
    } finally {
      await plant.stop();
      await rm(dir, { recursive: true, force: true });
    }
  }).timeout(BOUND);
  const wrong: [string, string[], Record<string, string>, number, RegExp][] = [
    ['no address', ['status', '--daemon', 'here'], {}, 2, /^here is no IP number and port\n$/],
    ['an address where nothing listens', ['status', '--daemon', '127.0.0.1:9'], {}, 4, /^unreached: 127.0.0.1:9: /],
    ['no fleet for a request', ['request', 'x'], {}, 2, /^--daemon is needed, or PUMICEBARROW_DAEMONS\n$/],
    ['a fleet for the command visit', ['visit', 'x'], { PUMICEBARROW_DAEMONS: '127.0.0.1:9' }, 2, /^--at is needed/],
    ['a file that is not there', ['plan', 'none.json'], {}, 2, /^none.json can't be read: /],
  ];
  for (const [name, args, env, code, text] of wrong) {
    it(`is told in one line of ${name}`, async () => {
      const got = await ClerkRun.run(env, ...args);
      expect(got.text).to.match(text);
      expect(got.code).to.equal(code);
    });
  }
});
