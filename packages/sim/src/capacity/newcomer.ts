import { Messaging, type Ident } from '@pumicebarrow/forms';
import { Gossip, InMemoryRecordStore, GossipDefaults } from '@pumicebarrow/purge';
import { Engine } from '../engine.js';
import { Host } from '../host.js';
import { Net } from '../net.js';
import type { Figure } from './figure.js';
import { Hollow } from './hollow.js';
import { Props } from './props.js';
import { Tally } from './tally.js';

const OLD = 8;
const LONGEST = 600_000;

/** A daemon that starts with an empty shelf beside some that hold `rows` rows: how long until it holds them all. */
export const Newcomer = {
  async run(rows: number, seed: number, slow = 0): Promise<Figure[]> {
    const motor = Engine.make(seed),
      net = Net.make(motor),
      tally = Tally.make();
    net.tap(tally.add);
    net.slow(slow);
    const nodes = Props.idents(OLD + 1).map((me: Ident) => {
      const box = Host.make(motor, me.id, me.addr, me.site, null, () => undefined);
      net.add(box);
      const world = net.world(box);
      const shelf = InMemoryRecordStore.make(() => true);
      const post = Messaging.make(world, () => me);
      const purge = Gossip.make(
        world,
        post,
        () => me,
        shelf,
        GossipDefaults,
        () => [],
      );
      return { me, shelf, purge };
    });
    const young = nodes[OLD]!;
    for (const n of nodes) {
      if (n !== young) for (let i = 0; i < rows; i++) n.shelf.offer(Props.row(i));
      n.purge.addPeers(nodes.filter((x) => x !== n).map((x) => x.me));
      if (n !== young) n.purge.start();
    }
    await motor.run(3000);
    tally.reset();
    young.purge.start();
    while (young.shelf.records().size < rows && motor.now() < LONGEST) await motor.run(motor.now() + 50);
    const a = { run: slow > 0 ? 'newcomer, far' : 'newcomer', axis: 'rows', at: rows };
    const sum = [...tally.mean([young.me.id]).values()].reduce(
      (x, s) => ({ mails: x.mails + s.mails, bytes: x.bytes + s.in + s.out }),
      { mails: 0, bytes: 0 },
    );
    return [
      Hollow.figure(a, 'edge', 'until it holds all', 'ms', motor.now() - 3000),
      Hollow.figure(a, 'edge', 'until it holds all', 'frames', sum.mails),
      Hollow.figure(a, 'edge', 'until it holds all', 'B', sum.bytes),
    ];
  },
};
