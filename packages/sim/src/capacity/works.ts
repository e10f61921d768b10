import { LeaseManager, Ledger, StageTarget, InventoryList } from '@pumicebarrow/counter';
import { SchemaCheck, Verdicts } from '@pumicebarrow/forms';
import { RangeDigests } from '@pumicebarrow/purge';
import { LiveDaemons, type ControlClient } from '@pumicebarrow/registry';
import { Design } from './design.js';
import type { Figure } from './figure.js';
import { Props } from './props.js';
import { Timed } from './timed.js';

const NAMES = 50;
const rule = Props.charter(1).rules[2]!;

/** Single pieces of the daemons' work, timed alone; `at` is the size of the table they work on. */
export const Works = {
  figure: (axis: string, at: number, what: string, unit: string, value: number): Figure => ({
    run: 'work',
    axis,
    at,
    role: 'edge',
    what,
    unit,
    value: Math.round(value * 100) / 100,
  }),
  /** Over the live daemons: who holds a key, and what the head does for one check-in. */
  daemons(n: number): Figure[] {
    const list = Props.idents(n),
      clock = Props.clock(),
      load = { read: 1, write: 1 };
    let now = 5000;
    const roll = LiveDaemons.make({ ...clock, mono: () => now });
    now += 1500;
    for (const who of list) roll.record(who, 1, 'x', load);
    now += 600;
    const line = {
      write: () => Promise.resolve({ ruling: { verdict: Verdicts.notRun('unready', '', 1) }, term: 0, sent: 0 }),
    } as unknown as ControlClient;
    const duty = LeaseManager.make(
      Props.world(clock),
      line,
      () => list[0]!,
      () => list,
    );
    const names = Array.from({ length: NAMES }, (_, i) => `row:m${i + 1}`);
    let turn = 0;
    const roster = JSON.stringify(roll.roster());
    const one = (what: string, unit: string, value: number): Figure => Works.figure('daemons', n, what, unit, value);
    return [
      one('whose duty, a key', 'us', Timed.us(() => duty.tick(names)) / NAMES),
      one(
        'a check-in at the head',
        'us',
        Timed.us(() => {
          roll.record(list[turn++ % n]!, 1, 'x', load);
          roll.roster();
          roll.totalLoad();
        }),
      ),
      one(
        'writing the roster out',
        'us',
        Timed.us(() => JSON.stringify(roll.roster())),
      ),
      one(
        'reading the roster',
        'us',
        Timed.us(() => JSON.parse(roster) as unknown),
      ),
      one('the roster', 'B', roster.length),
    ];
  },
  /** Over what a shelf holds. */
  rows(n: number): Figure[] {
    const shelf = Props.shelf(n),
      table = shelf.records();
    let step = 1;
    const sums = RangeDigests.digests(table).map(() => 'unlike');
    const all = JSON.stringify(RangeDigests.differing(table, sums));
    const one = (what: string, unit: string, value: number): Figure => Works.figure('rows', n, what, unit, value);
    return [
      one(
        'a row taken by the shelf',
        'us',
        Timed.us(() => shelf.offer(Props.row(0, step++))),
      ),
      one(
        'digests over ranges',
        'us',
        Timed.us(() => RangeDigests.digests(table)),
      ),
      one('marks of one range that differs', 'B', all.length / RangeDigests.COUNT),
      one(
        'a row on the shelf',
        'heap',
        Timed.heap(() => Array.from({ length: n }, (_, i) => [Props.row(i), new Map([[`row:${i}`, i]])])) / n,
      ),
    ];
  },
  /** Over the list of servers, with as many daemons to the server as at the design size. */
  async servers(n: number): Promise<Figure[]> {
    const roster = Props.idents(Math.max(1, Math.round((n * Design.daemons) / Design.servers)));
    const { choice, loads, list, sheet } = await Props.choice(n, roster);
    const charter = Props.charter(n),
      live = [...sheet.assignments().values()].map(({ assignment: row }) => ({ id: row.server, part: row.part }));
    const text = JSON.stringify({ servers: list }),
      leases = Object.fromEntries(list.map((s) => [`row:${s.id}`, { id: 'e100', born: s.born.slice(-12), fence: 1 }]));
    const held = JSON.stringify({ version: 1, plan: 'p', body: charter }).length;
    let turn = 0;
    for (const s of list.slice(0, 420)) loads.reserve(s.id, 1);
    const none = new Set<string>();
    const one = (what: string, unit: string, value: number): Figure => Works.figure('servers', n, what, unit, value);
    return [
      one(
        'choosing who reads',
        'us',
        Timed.us(() => choice.prefill(rule, `p${turn++}`, none)),
      ),
      one(
        'choosing who writes',
        'us',
        Timed.us(() => choice.decode(rule, list[turn++ % n]!, none)),
      ),
      one(
        'the part of one row',
        'us',
        Timed.us(() => StageTarget.stageFor(charter, n * 0.34, live, list[turn++ % n]!.id, true)),
      ),
      one(
        'reading the list',
        'us',
        Timed.us(() => SchemaCheck.parse(InventoryList, JSON.parse(text))),
      ),
      one('the list', 'B', text.length),
      one('the charter', 'B', held),
      one('the claims', 'B', JSON.stringify(leases).length),
      one('the list in memory', 'heap', Timed.heap(() => JSON.parse(text) as unknown) / n),
    ];
  },
  /** Records of requests, `n` kept. */
  ledger(n: number): Figure[] {
    const clock = Props.clock(),
      ledger = Ledger.make(clock);
    const heap = Timed.heap(() => {
      for (let i = 0; i < n; i++)
        ledger.open(`key-of-a-visit-${i}`, 1, `digest-of-24-signs-${i % 100}`, false, 'e1/000000000001');
      return ledger;
    });
    let turn = n;
    const one = (what: string, unit: string, value: number): Figure => Works.figure('records', n, what, unit, value);
    return [
      one('a record in memory', 'heap', heap / n),
      one(
        'a visit recorded, three steps',
        'us',
        Timed.us(() => {
          const key = `key-of-a-visit-${turn++}`;
          ledger.open(key, 1, 'digest', false, 'e1/1');
          ledger.step(key, 1, 'digest', 'sent', 'e1/1');
          ledger.step(key, 1, 'digest', 'ran', 'e1/1');
        }),
      ),
    ];
  },
};
