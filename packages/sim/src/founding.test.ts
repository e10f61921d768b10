import type { Deed } from '@pumicebarrow/forms';
import { expect } from 'chai';
import { Bench } from './bench.js';
import { Engine } from './engine.js';
import type { Size } from './size.js';

/** Cores started one by one; gives their bench after some seconds. */
const stand = async (seed: number, size: Size, ids: readonly string[], seconds = 20) => {
  const motor = Engine.make(seed),
    deeds: Deed[] = [];
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
        const { line } = b.cores.get(id)!;
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
