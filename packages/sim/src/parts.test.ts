import { Hash, Messaging, type Doc, type Ident, type Messenger } from '@pumicebarrow/forms';
import { Gossip, InMemoryRecordStore, GossipDefaults } from '@pumicebarrow/purge';
import { expect } from 'chai';
import { Engine } from './engine.js';
import { Host } from './host.js';
import { Net } from './net.js';
import { Props } from './capacity/props.js';

const DAEMONS = 18;
const ROWS = 2000;
const VERSIONS = 9;
const GAP = 2400;

/** A post that neither names what is held nor hears of it, as of the release before parts. */
const aged = (post: Messenger): Messenger => ({
  ...post,
  on: (kind, form, fn) =>
    post.on(kind, form, (body, from) =>
      fn((kind === 'purge.pull' ? { name: (body as { name: string }).name } : body) as typeof body, from),
    ),
  ask: (addr, to, kind, body, form, ms) =>
    post.ask(addr, to, kind, kind === 'purge.pull' ? { name: (body as { name: string }).name } : body, form, ms),
});

/** Daemons that gossip one long doc, of which a row is changed in each version. */
const play = async (seed: number, old: number, newer: number, loss: number) => {
  const motor = Engine.make(seed),
    net = Net.make(motor);
  const texts = new Map<string, Set<string>>();
  const nodes = Props.idents(DAEMONS).map((me: Ident, i) => {
    const box = Host.make(motor, me.id, me.addr, me.site, null, () => undefined);
    net.add(box);
    const world = net.world(box),
      post = Messaging.make(world, () => me),
      shelf = InMemoryRecordStore.make(() => true);
    shelf.onChange((doc) => {
      const mark = doc.mark.join(' ');
      texts.set(mark, (texts.get(mark) ?? new Set()).add(Hash.ofValue(doc.body)));
    });
    const purge = Gossip.make(
      world,
      i < old ? aged(post) : post,
      () => me,
      shelf,
      GossipDefaults,
      () => [],
    );
    return { me, shelf, purge };
  });
  net.newer(nodes.slice(DAEMONS - newer).map((n) => n.me.id));
  net.lose(loss);
  for (const n of nodes) {
    n.purge.addPeers(nodes.filter((x) => x !== n).map((x) => x.me));
    n.purge.start();
  }
  let rows = Props.listed(ROWS);
  for (let v = 0; v < VERSIONS; v++) {
    motor.at(1000 + v * GAP, () => {
      rows = rows.map((r, i) => (i === (v * 701) % ROWS ? { ...r, born: `${r.id}-life-${v}` } : r));
      const doc: Doc = { name: 'list', mark: [1, v], body: { servers: rows } };
      nodes[(v * 5) % DAEMONS]!.purge.publish(doc);
    });
  }
  await motor.run(1000 + VERSIONS * GAP + 12_000);
  const count = nodes.map((n) => n.purge.counters());
  return { nodes, texts, count, last: JSON.stringify({ servers: rows }) };
};

describe('A long doc handed on by parts', () => {
  const cases: [string, number, number, number][] = [
    ['all are of one release', 0, 0, 0],
    ['a third is of the release before', 6, 0, 0],
    ['a third is of the release before and a third of the next', 6, 6, 0],
    ['mail is lost', 0, 0, 0.05],
    ['mail is lost, of two releases', 9, 0, 0.05],
  ];
  for (const [name, old, newer, loss] of cases)
    for (const seed of [1, 2])
      it(`is the same everywhere where ${name}, seed ${seed}`, async () => {
        const { nodes, texts, count, last } = await play(seed, old, newer, loss);
        expect(texts.size).to.equal(VERSIONS);
        for (const [mark, some] of texts) expect(some.size, mark).to.equal(1);
        for (const n of nodes) expect(JSON.stringify(n.shelf.get('list')!.body) === last, n.me.id).to.equal(true);
        for (const [i, c] of count.entries()) if (i < old) expect(c.parts).to.equal(0);
        expect(count.reduce((n, c) => n + c.parts, 0)).to.be.above(old === 0 ? 100 : 20);
        expect(count.reduce((n, c) => n + c.again, 0)).to.equal(0);
      });
});
