import type { HistoryEvent } from '@pumicebarrow/forms';
import { expect } from 'chai';
import { Bench } from './bench.js';
import { Engine } from './engine.js';
import type { Size } from './size.js';

/** Cores started one by one; gives their bench after some seconds. */
const stand = async (seed: number, size: Size, ids: readonly string[], seconds = 20) => {
  const motor = Engine.make(seed),
    deeds: HistoryEvent[] = [];
  const b = Bench.make(motor, 3, (d) => deeds.push(d), size);
  for (const id of ids) motor.at(motor.chance.real() * 3000, () => void b.start(id));
  for (let t = 500; t <= seconds * 1000; t += 500) await motor.run(t);
  const views = deeds.filter((d) => d.what === 'view');
  return { b, views, motor };
};
const five: Size = { losses: 2, spares: 1 };
const cases: [string, Size, string[], number][] = [
  ['three that are started to make it', { losses: 1, spares: 0 }, ['c1', 'c2', 'c3'], 1],
  ['three with nothing on disk, of which none is', { losses: 1, spares: 0, first: false }, ['c1', 'c2', 'c3'], 0],
  ['two of three', { losses: 1, spares: 0 }, ['c1', 'c3'], 0],
  ['two, and one that only joins', { losses: 1, spares: 1 }, ['c1', 'c2', 'n1'], 0],
  ['three of five', five, ['c1', 'c2', 'c3'], 0],
  ['four of five, and one that only joins', five, ['c1', 'c2', 'c3', 'c4', 'n1'], 0],
  ['five', five, ['c1', 'c2', 'c3', 'c4', 'c5'], 1],
];

describe('A first view', () => {
  for (const [name, size, ids, most] of cases) {
    it(`is made ${most ? 'once' : 'never'} by ${name}`, async () => {
      for (let seed = 1; seed <= 10; seed++) {
        const { b, views } = await stand(seed, size, ids);
        expect(views.map((d) => [d['epoch'], (d['chain'] as string[]).length])).to.deep.equal(
          most ? [[1, ids.length]] : [],
        );
        for (const id of ids) expect(b.cores.get(id)!.core.view()?.voters.length ?? 0).to.equal(most && ids.length);
      }
    });
  }
  const crowded: [string, Size, number][] = [
    ['six of which five vote', { losses: 2, spares: 0, more: 1 }, 5],
    ['six that meet at daemons which are no members', { losses: 2, spares: 0, more: 1, introducers: true }, 5],
    ['five that meet at daemons which are no members', { losses: 2, spares: 0, introducers: true }, 5],
    ['four of which one votes, as nothing may be lost', { losses: 0, spares: 0, more: 3 }, 1],
    ['ten of which nine vote', { losses: 4, spares: 0, more: 1 }, 9],
    ['twelve of which three vote', { losses: 1, spares: 0, more: 9, introducers: true }, 3],
  ];
  for (const [name, size, voters] of crowded) {
    it(`is made once by ${name}`, async () => {
      for (let seed = 1; seed <= 12; seed++) {
        const ids = Array.from({ length: 2 * size.losses + 1 + (size.more ?? 0) }, (_, i) => `c${i + 1}`);
        const { b, views } = await stand(seed, size, ids);
        expect(views.filter((d) => d['epoch'] === 1).length, `seed ${seed}`).to.equal(1);
        for (const id of ids)
          expect(b.cores.get(id)!.core.view()?.voters.length, `${id} seed ${seed}`).to.equal(voters);
        expect(new Set(ids.map((id) => JSON.stringify(b.cores.get(id)!.core.view()?.voters))).size).to.equal(1);
      }
    });
  }
  it('is never made twice where two halves of the candidates meet late', async () => {
    for (let seed = 1; seed <= 12; seed++) {
      const motor = Engine.make(seed),
        deeds: HistoryEvent[] = [];
      const b = Bench.make(motor, 3, (d) => deeds.push(d), { losses: 1, spares: 0, more: 5, introducers: true });
      const heal = b.net.cut(['c1', 'c2', 'c3', 'c4', 'i1'], ['c5', 'c6', 'c7', 'c8', 'i2', 'i3']);
      for (const id of b.ids) void b.start(id);
      for (let t = 500; t <= 8000; t += 500) await motor.run(t);
      heal();
      for (let t = 8500; t <= 20_000; t += 500) await motor.run(t);
      expect(deeds.filter((d) => d.what === 'view' && d['epoch'] === 1).length, `seed ${seed}`).to.equal(1);
    }
  });
  it('and one more that was not among them only joins', async () => {
    const { b, motor } = await stand(3, five, ['c1', 'c2', 'c3', 'c4', 'c5']);
    void b.start('n1');
    for (let t = 20_500; t <= 26_000; t += 500) await motor.run(t);
    expect(b.chain()).to.deep.equal(['c1', 'c2', 'c3', 'c4', 'c5', 'n1']);
    expect(
      b.cores
        .get('n1')!
        .core.view()!
        .voters.map((m) => m.id),
    ).not.to.include('n1');
  });
  it('lets a core daemon itself write and read', async () => {
    const { b, motor } = await stand(4, five, ['c1', 'c2', 'c3', 'c4', 'c5'], 10);
    const told: unknown[] = [];
    const work = async (): Promise<void> => {
      for (const id of ['c1', 'c3', 'c5']) {
        const { controlClient: line } = b.cores.get(id)!;
        const base = (await line.read(undefined, 2000))?.charter?.version ?? 0;
        await line.write({ do: 'plan', id: `p${id}`, base, charter: b.charter(1) });
        told.push((await line.write({ do: 'confirm', id: `p${id}` })).ruling.version);
      }
      told.push(b.cores.get('c2')!.core.view()?.epoch);
    };
    void work();
    for (let t = 10_500; t <= 20_000; t += 500) await motor.run(t);
    expect(told).to.deep.equal([1, 2, 3, 1]);
  });
});
