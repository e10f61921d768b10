import { expect } from 'chai';
import { StageChanges } from './stagechanges.js';
import type { Server } from './server.js';
import { server } from './fixtures.test.js';
import { makeStageBalancerFixture } from './stagebalancerfixture.test.js';

describe('stage balancing in a large service', () => {
  const many = Array.from({ length: 30 }, (_, i) => server(`s${10 + i}`, i < 10 ? 'prefill' : 'decode'));
  it('changes a batch together, announced in one record a second before the orders leave', async () => {
    const d = makeStageBalancerFixture(many);
    await d.pass(4000);
    d.state.load = { read: 400_000, beside: 0, run: 60 };
    const announcedCount = () => many.filter((s) => StageChanges.isChanging(d.store, s)).length;
    let at = 0;
    for (; announcedCount() === 0 && at < 8000; at += 400) await d.pass(400);
    expect(announcedCount()).to.equal(7);
    await d.pass(400);
    expect(d.orders).to.have.length(0);
    await d.pass(1200);
    expect(d.orders).to.have.length(7);
    expect([...d.store.records().keys()].filter((name) => name.startsWith('row:'))).to.deep.equal([]);
  });
  it('starts no further change before most of the batch is done, and lists the batch until all are done', async () => {
    const d = makeStageBalancerFixture(many);
    d.state.load = { read: 400_000, beside: 0, run: 60 };
    await d.pass(10_000);
    const first = [...StageChanges.batch(d.store).keys()];
    expect(first.length).to.be.within(6, 7);
    const shown = (done: readonly string[]): Server[] =>
      many.map((s) => (done.includes(s.id) ? { ...s, stage: 'prefill' as const } : s));
    d.state.load = { read: 0, beside: 0, run: 60 };
    await d.pass(4000);
    d.state.servers = shown(first.slice(0, -1));
    await d.pass(400);
    expect([...StageChanges.batch(d.store).keys()]).to.deep.equal(first);
    expect(
      StageChanges.isChanging(
        d.store,
        many.find((s) => s.id === first[0])!,
      ),
    ).to.equal(true);
    d.state.servers = shown(first);
    await d.pass(800);
    expect(StageChanges.batch(d.store).size).to.equal(0);
  });
  it('continues a batch announced by another holder', async () => {
    const d = makeStageBalancerFixture(many);
    const rows = [
      ['s20', 'prefill'],
      ['s21', 'prefill'],
    ];
    d.store.offer({ name: 'changes', mark: [3, 0], body: { rows, by: 'k0' } });
    await d.pass(3200);
    expect(d.orders).to.deep.equal([]);
    await d.pass(4000);
    expect(new Set(d.orders)).to.deep.equal(new Set(['s20 prefill 4 no row ', 's21 prefill 4 no row ']));
  });
});
