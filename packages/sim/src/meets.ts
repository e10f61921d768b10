import type { HistoryEvent } from '@pumicebarrow/forms';

type List = readonly HistoryEvent[];
type Count = (list: List) => number;
const of = (list: List, what: string): List => list.filter((d) => d.what === what);
const some =
  (what: string, fits: (d: HistoryEvent) => boolean = () => true): Count =>
  (list) =>
    of(list, what).filter(fits).length;
const core = (d: HistoryEvent): boolean => d.who.startsWith('c');
const has =
  (key: string, ...wanted: readonly string[]) =>
  (d: HistoryEvent): boolean =>
    wanted.includes(String(d[key]));

/** Daemons that were stopped with requests in hand. */
const busy =
  (what: string): Count =>
  (list) =>
    of(list, what).filter((k) => {
      const own = list.filter((d) => d.who === k.who && d.at <= k.at && d.at > k.at - 15_000);
      const over = new Set(of(own, 'visit').map((d) => `${String(d['key'])} ${String(d['attempt'])}`));
      return of(own, 'gated').some((d) => !over.has(`${String(d['key'])} ${String(d['attempt'])}`));
    }).length;
/** Charters confirmed while a machine was down, frozen or cut off. */
const apart: Count = (list) => {
  const yes = of(list, 'verdict').filter(has('code', 'confirmed'));
  const spans = list.flatMap((d) => {
    if (d.what === 'frozen') return [{ from: d.at, to: d.at + Number(d['ms']) }];
    if (d.what === 'cut') return [{ from: d.at, to: Number(d['until']) }];
    if (d.what !== 'killed') return [];
    return [{ from: d.at, to: list.find((x) => x.what === 'start' && x.who === d.who && x.at > d.at)?.at ?? Infinity }];
  });
  return yes.filter((d) => spans.some((s) => s.from < d.at && d.at <= s.to)).length;
};
/** The most wishes of one instant, and the share of the heaviest rule. */
const burst: Count = (list) => {
  const by = new Map<number, number>();
  for (const d of of(list, 'wish')) by.set(d.at, (by.get(d.at) ?? 0) + 1);
  return Math.max(0, ...by.values()) >= 1000 ? 1 : 0;
};
const swung: Count = (list) =>
  of(list, 'wish').filter(has('rule', 'review')).length > of(list, 'wish').length * 0.4 ? 1 : 0;
/** The tail killed at the instant it passed a charter on. */
const atonce: Count = (list) =>
  of(list, 'killed').filter((k) => of(list, 'confirmed').some((c) => c.who === k.who && k.at - c.at < 2)).length;
/** Duties that were claimed by one daemon after another, for servers that were ordered. */
const hands: Count = (list) => {
  const by = new Map<string, Set<string>>();
  const ordered = new Set(of(list, 'ordered').map((d) => `row:${d.who}`));
  for (const d of of(list, 'claim').filter((x) => ordered.has(String(x['name']))))
    by.set(String(d['name']), (by.get(String(d['name'])) ?? new Set()).add(d.who));
  return [...by.values()].filter((s) => s.size > 1).length;
};
const storm: Count = (list) => (of(list, 'verdict').filter(has('code', 'confirmed')).length >= 8 ? 1 : 0);

/**
 * What a drill must have brought about, by name, counted in the deeds of its time; a run in which one is 0 has
 * failed.
 */
export const Meets = {
  burst,
  swung,
  atonce,
  hands,
  storm,
  apart,
  killed: some('killed'),
  killedbusy: busy('killed'),
  frozenbusy: busy('frozen'),
  frozen: some('frozen'),
  gated: some('gated'),
  woke: some('woke'),
  corekilled: some('killed', core),
  corefrozen: some('frozen', core),
  wiped: some('wiped'),
  moved: some('moved'),
  /** A charter confirmed after two cores exchanged addresses. */
  rehoused: some('rehoused'),
  leaves: some('leaves'),
  cutmet: some('lifted', (d) => Number(d['met']) > 0),
  lost: some('lifted', (d) => Number(d['lost']) > 0),
  skewed: some('skewed'),
  spoilt: some('spoilt'),
  disk: some('disk'),
  view: some('view'),
  fell: some('fell'),
  fellbusy: some('fell', (d) => Number(d['open']) > 0),
  sighted: some('sighted'),
  late: some('late', has('part', 'prefill', 'decode')),
  lateorder: some('late', has('part', 'order')),
  draining: some('listed', has('mark', 'draining')),
  slowlink: some('slowlink'),
  lapsed: some('extra', has('code', 'lapsed')),
  turned: some('extra', has('code', 'busy')),
  tricked: (list: List): number =>
    some('extra', has('code', 'bad'))(list) + some('visit', has('code', 'bad', 'cut', 'mayhaverun'))(list),
  oldlist: some('told', has('code', 'oldlist')),
  /** A later try of which nobody could prove that the one before had not run. */
  unproven: some('told', has('code', 'unproven')),
  twin: some('twin'),
  confirmed: some('verdict', has('code', 'confirmed')),
  beaten: some('verdict', has('code', 'lost')),
  unsure: some('verdict', (d) => d['ran'] === 'maybe' || d['code'] === 'unready'),
  readback: some('readback'),
  /** A daemon that started again held an older charter than it was last told to hold. */
  behind: some('behind'),
  deadseeds: some('deadseeds'),
  /** Both daemons that had a way into the fleet found it. */
  found: (list: List): number => (of(list, 'found').length >= 2 ? 1 : 0),
} as const satisfies Record<string, Count>;
