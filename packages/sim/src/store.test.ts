import { FileDisk, type World } from '@pumicebarrow/forms';
import { MemberIdentity, CoreStore } from '@pumicebarrow/registry';
import { expect } from 'chai';
import { Engine } from './engine.js';
import { SimFolder } from './simfolder.js';

const m = (i: number) => ({ id: `c${i}`, born: `b${i}`, addr: `10.0.0.${i}:1` });
const view = { epoch: 2, voters: [m(1), m(2), m(3)], chain: [m(1)] };
const said = { epoch: 2, promised: 16, took: { ballot: 16, view } };

/** A folder whose owner voted twice, on a machine that can be stopped at any operation. */
const lay = (seed: number) => {
  const motor = Engine.make(seed),
    sim = SimFolder.make(
      motor,
      () => 1,
      () => null,
    );
  const world = { clock: { mono: motor.now }, random: motor.chance, recordEvent: () => undefined } as unknown as World;
  const end = async <T>(job: Promise<T>): Promise<T | null> => {
    let got: T | null = null;
    void job.then((v) => {
      got = v;
    });
    await motor.run(motor.now() + 1000);
    return got;
  };
  const open = () => CoreStore.make(world, FileDisk.onFolder(sim.folder));
  return { sim, end, open, world };
};
const begin = async (seed: number) => {
  const l = lay(seed),
    store = l.open();
  await l.end(store.load());
  const born = await l.end(MemberIdentity.loadOrCreate(l.world, store, null));
  await l.end(store.put('vote', { epoch: 2, promised: 8, took: null }));
  await l.end(store.put('vote', said));
  return { ...l, born: born!.val };
};

describe('A core that lost a file, stopped at each operation of its start', () => {
  const damages: Record<string, (sim: ReturnType<typeof lay>['sim']) => void> = {
    'the newest vote is damaged': (sim) => sim.spoil('vote.3.json', (t) => t.slice(0, 30)),
    'all votes are gone': (sim) => {
      for (const f of sim.names().filter((x) => x.startsWith('vote'))) sim.lose(f);
    },
    'the state is damaged': (sim) => sim.spoil('state.1.json', () => ''),
    'its name is gone': (sim) => {
      for (const f of sim.names().filter((x) => x.startsWith('self'))) sim.lose(f);
    },
  };
  for (const [name, damage] of Object.entries(damages)) {
    it(`is never again who it was, where ${name}`, async () => {
      let points = 0;
      for (let at = 1, more = true; more; at++) {
        for (let seed = 1; seed <= 12; seed++) {
          const l = await begin(at * 100 + seed);
          damage(l.sim);
          more = false;
          l.sim.snare(at, () => {
            more = true;
            l.sim.stop();
          });
          await l.end(l.open().load());
          l.sim.disarm();
          const kept = await l.end(l.open().load());
          expect(kept?.ok, `stopped at ${at}`).to.equal(true);
          expect((kept!.val as { born: string | null }).born, `stopped at ${at}, seed ${seed}`).to.equal(null);
        }
        if (more) points++;
      }
      expect(points).to.be.greaterThan(8);
    });
  }
  it('has a run number at each start that no earlier run used, wherever a start is stopped', async () => {
    for (let seed = 1; seed <= 12; seed++) {
      const l = await begin(seed);
      const used: number[] = [];
      let complete = 0;
      for (let at = 1; complete < 3; at++) {
        let stopped = false;
        l.sim.snare(at, () => {
          stopped = true;
          l.sim.stop();
        });
        const store = l.open();
        await l.end(store.load());
        await l.end(store.recordRun());
        l.sim.disarm();
        if (store.runNumber() !== null) used.push(store.runNumber()!);
        if (!stopped) complete++;
      }
      expect(used.length, `seed ${seed}`).to.be.at.least(complete);
      expect(used, `seed ${seed}`).to.deep.equal([...new Set(used)].sort((a, b) => a - b));
      expect(used[0]!, `seed ${seed}`).to.be.greaterThan(1);
    }
  });
  it('has a run number of its own in a folder of a release that did not count runs', async () => {
    const l = await begin(1);
    const store = l.open();
    await l.end(store.load());
    await l.end(store.put('self', { born: l.born, whole: true }));
    const next = l.open();
    await l.end(next.load());
    await l.end(next.recordRun());
    expect(next.runNumber()).to.equal(2);
  });
  it('keeps its name, and all that it said, where nothing is lost', async () => {
    for (let seed = 1; seed <= 20; seed++) {
      const l = await begin(seed);
      l.sim.stop();
      const kept = (await l.end(l.open().load()))!.val as { born: string; vote: unknown };
      expect(kept.born).to.equal(l.born);
      expect(kept.vote).to.deep.equal(said);
    }
  });
  it('is who it was or nobody, where its birth was cut short', async () => {
    let points = 0;
    for (let at = 1; at < 60; at++) {
      const l = lay(at),
        store = l.open();
      await l.end(store.load());
      let met = false;
      l.sim.snare(at, () => {
        met = true;
        l.sim.stop();
      });
      await l.end(MemberIdentity.loadOrCreate(l.world, store, null));
      l.sim.disarm();
      const kept = await l.end(l.open().load());
      expect(kept?.ok, `stopped at ${at}`).to.equal(true);
      if (!met) break;
      points++;
    }
    expect(points).to.be.greaterThan(12);
  });
});
