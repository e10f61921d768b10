import { Deployments } from '@pumicebarrow/sim';
import { expect } from 'chai';
import { mkdtemp, rm, writeFile } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { ClerkRun } from './clerkrun.test.js';
import { Drive } from './drive.js';
import { Plant } from './plant.js';

const clerk = (at: string, ...args: string[]) => ClerkRun.run({ PUMICEBARROW_AT: at }, ...args);

describe('A fleet of real processes', () => {
  it('takes a charter, serves, and serves on after a daemon, a server and the head are killed', async () => {
    const dir = await mkdtemp(join(tmpdir(), 'pb-'));
    const d = { ...Deployments.coop, edges: 3, rate: 20 };
    const plant = await Plant.make(d, dir);
    try {
      const drive = Drive.make(d, plant);
      await plant.start();
      await drive.holds(await drive.change(d.charter));
      await drive.serves();
      const at = plant.edges[0]!.http;
      await writeFile(join(dir, 'next.json'), JSON.stringify({ ...d.charter, fallback: 'review' }));
      await writeFile(join(dir, 'bad.json'), JSON.stringify({ ...d.charter, fallback: 'none' }));
      const bad = await clerk(at, 'plan', join(dir, 'bad.json'));
      expect([bad.code, bad.text]).to.deep.equal([2, '/fallback names the unknown rule none\n']);
      const planned = await clerk(at, 'plan', join(dir, 'next.json'));
      expect(planned.text).to.contain('/fallback changes from changelog to review.');
      const name = /clerk confirm (\S+)/.exec(planned.text)![1]!;
      expect((await clerk(at, 'confirm', name)).code).to.equal(0);
      expect((await clerk(at, 'confirm', name)).code).to.equal(0);
      expect((await clerk(at, 'drop', name)).code).to.equal(1);
      await drive.holds(2);
      expect((await clerk(at, 'read', name)).text).to.contain('is won');
      expect((await clerk(at, 'status')).text).to.match(/e1 .* holds 2/);
      expect((await clerk(at, 'trace')).text).to.contain('charter 2: 6 of 6 daemons hold it');
      expect((await clerk(at, 'trace', '--version', '99')).code).to.equal(1);
      const crowd = drive.crowd();
      crowd.start();
      const whole = (n: number) =>
        drive.until(`${n} whole answers`, 300_000, () => Promise.resolve((crowd.tally['whole'] ?? 0) >= n));
      await whole(20);
      await drive.gather(['m1']);
      await Promise.all([plant.fall('e3', 'SIGKILL'), plant.fall('m1', 'SIGKILL'), plant.fall('c1', 'SIGKILL')]);
      const version = await drive.change({ ...d.charter, fallback: 'verdict' });
      await drive.holds(version);
      await whole((crowd.tally['whole'] ?? 0) + 20);
      await crowd.stop();
      await drive.gather(plant.backs.filter((b) => b.id !== 'm1').map((b) => b.id));
      expect(drive.twice()).to.deep.equal([]);
      expect(crowd.tally['wrong']).to.equal(undefined);
      const codes = await plant.stop();
      for (const id of ['e1', 'e2', 'c2', 'c3']) expect(codes[id], id).to.equal(0);
    } finally {
      await plant.stop();
      await rm(dir, { recursive: true, force: true });
    }
  });
});
