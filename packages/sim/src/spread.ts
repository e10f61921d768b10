import { Random, Messaging, type Ident } from '@pumicebarrow/forms';
import { Gossip, InMemoryRecordStore, type GossipSettings } from '@pumicebarrow/purge';
import { Engine } from './engine.js';
import type { Grid } from './grid.js';
import { Host } from './host.js';
import { Net } from './net.js';

type Asked = {
  seed: number;
  nodes: number;
  docs: number;
  gap: number;
  burst?: number;
  tunes: GossipSettings;
  tap?: (net: Grid) => void;
  body?: unknown;
};
const WARM = 20;

/**
 * The source's experiment (ch. 4.2) with our own purge: `docs` notices, one every `gap` rounds, over `nodes` daemons.
 * Gives, for each notice, the rounds until every daemon held it, and by which way it was held.
 */
export const Spread = {
  async run(a: Asked): Promise<{ rounds: number[]; via: Record<string, number>; mails: number }> {
    const motor = Engine.make(a.seed),
      net = Net.make(motor);
    a.tap?.(net);
    const held = new Map<string, number>();
    const via: Record<string, number> = {};
    const rounds: number[] = [];
    const from = new Map<string, number>();
    const addr = (i: number): string => `10.${Math.floor(i / 250)}.0.${(i % 250) + 1}:7000`;
    const nodes = Array.from({ length: a.nodes + 1 }, (_, i) => {
      const box = Host.make(motor, `n${i}`, addr(i), 's1', null, (d) => {
        if (d.what !== 'held') return;
        const name = String(d['name']);
        via[String(d['via'])] = (via[String(d['via'])] ?? 0) + 1;
        held.set(name, (held.get(name) ?? 0) + 1);
        if (held.get(name) === a.nodes + 1 && from.has(name))
          rounds.push((motor.now() - from.get(name)!) / a.tunes.round);
      });
      net.add(box);
      const me: Ident = { id: `n${i}`, born: 'b', addr: addr(i), site: 's1', role: 'counter' };
      const world = net.world(box);
      const post = Messaging.make(world, () => me);
      const purge = Gossip.make(
        world,
        post,
        () => me,
        InMemoryRecordStore.make(() => true),
        a.tunes,
        () => [addr(Random.int(box.chance, a.nodes))],
      );
      return { me, purge };
    });
    for (const n of nodes)
      n.purge.addPeers(
        Random.sample(
          motor.chance,
          nodes.filter((x) => x !== n),
          a.tunes.ids,
        ).map((x) => x.me),
      );
    for (const n of nodes) motor.at(motor.chance.real() * a.tunes.round, () => n.purge.start());
    const origin = nodes[a.nodes]!;
    const put = (name: string): boolean => origin.purge.publish({ name, mark: [1, 0], body: a.body ?? null });
    for (let i = 0; i < a.tunes.notes; i++) motor.at((i + 2) * a.gap * a.tunes.round, () => put(`warm:${i}`));
    for (let i = 0; i < a.docs; i++) {
      const at = (WARM + Math.floor(i / (a.burst ?? 1)) * a.gap) * a.tunes.round;
      motor.at(at, () => {
        from.set(`doc:${i}`, motor.now());
        put(`doc:${i}`);
      });
    }
    await motor.run((WARM + a.docs * a.gap + 60) * a.tunes.round);
    return { rounds, via, mails: net.mails() };
  },
};
