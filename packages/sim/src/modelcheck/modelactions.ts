import { ChainRules, NextViews, VoterRules, Views, type View } from '@pumicebarrow/registry';
import { ModelInvariants } from './modelinvariants.js';
import { ModelKeys } from './modelkeys.js';
import type { ModelWorld } from './modelworld.js';

type Node = ModelWorld['nodes'][number];
/** A step: what was done, the state after it, and what it showed to be broken. */
type Step = { name: string; next: ModelWorld; broken?: string };
const key = (m: { id: string; born: string }): string => `${m.id}/${m.born}`;
const member = (n: Node) => ({ id: n.id, born: n.born, addr: n.id });
const put = (w: ModelWorld, ...changed: Node[]): ModelWorld => ({
  ...w,
  nodes: w.nodes.map((n) => changed.findLast((c) => c.id === n.id) ?? n),
});
const reach = (w: ModelWorld, a: Node, b: Node): boolean =>
  a.up && b.up && (a.id === b.id || (w.cut !== a.id && w.cut !== b.id));
const alive = (w: ModelWorld, m: { id: string; born: string }): Node | undefined =>
  w.nodes.find((n) => Views.sameMember(n, m));
const adopted = (n: Node, view: View): Node => ({ ...n, view, leases: [], shown: null, round: null });
const decides = (n: Node, epoch: number): boolean =>
  n.view !== null && n.view.epoch + 1 === epoch && Views.isVoter(n.view, n);

const beat = (w: ModelWorld, n: Node): Step[] => {
  const { view } = n;
  if (!n.up || !view || Views.positionOf(view, n) < 0) return [];
  const voters = w.nodes.filter(
    (v) => reach(w, n, v) && v.view && ChainRules.mayRequestLease(v.view, view.epoch, n, member(v)),
  );
  const granting = voters.filter((v) => VoterRules.mayGrantLease(v.vote, view.epoch));
  if (granting.length === 0) return [];
  const leases = [...new Set([...n.leases, ...granting.map(key)])].sort();
  const after = granting.map((v) => ({ ...v, granted: [...new Set([...v.granted, key(n)])].sort() }));
  const self = { ...(after.find((v) => v.id === n.id) ?? n), leases };
  return [{ name: `${n.id} asks for leases`, next: put(w, self, ...after.filter((v) => v.id !== n.id)) }];
};
/**
 * All leases that a voter granted are over. A holder counts from before it asked, so its lease ends first; a state in
 * which one of the two is over and the other is not allows nothing that these do not.
 */
const lapse = (w: ModelWorld, n: Node): Step[] => {
  if (!n.up || n.granted.length === 0) return [];
  const holders = w.nodes.filter((m) => m.leases.includes(key(n)));
  const after = holders.map((m) => ({ ...m, leases: m.leases.filter((v) => v !== key(n)) }));
  const self = { ...(after.find((m) => m.id === n.id) ?? n), granted: [] };
  return [{ name: `the leases that ${n.id} granted are over`, next: put(w, ...after, self) }];
};
/** The views that a member may propose. Whom it suspects is left open: no suspicion may break anything. */
const proposals = (w: ModelWorld, n: Node, v: View): View[] => {
  const known = {
    fresh: (m: { id: string; born: string }): boolean => {
      const node = alive(w, m);
      return node?.up === true && node.view?.epoch === v.epoch && node.fresh === v.epoch;
    },
    emptied: (m: { id: string; born: string }): boolean => w.nodes.some((x) => x.id === m.id && x.born !== m.born),
  };
  const inside = Views.positionOf(v, n) >= 0;
  const others = v.chain.filter((m) => m.id !== n.id);
  const outside = w.nodes.filter((x) => x.up && Views.positionOf(v, x) < 0 && Views.hasRoomFor(v, member(x)));
  const caught = v.chain.filter((m) => !Views.isVoter(v, m) && known.fresh(m));
  const views = [
    ...(inside
      ? [NextViews.withoutMembers(v, [], known), ...others.map((m) => NextViews.withoutMembers(v, [m], known))]
      : []),
    ...(inside ? outside.map((x) => NextViews.withTail(v, member(x), known)) : []),
    ...caught.flatMap((m) => v.voters.filter((o) => o.id === m.id).map((o) => NextViews.withVoter(v, m, o, known))),
    ...(v.reserve ?? []).map((m) => NextViews.withReserveAsHead(v, m, v.chain, known)),
  ];
  return views.filter((x) => x !== null);
};
const propose = (w: ModelWorld, n: Node): Step[] => {
  const v = n.view;
  if (!n.up || !v || n.round || !Views.isVoter(v, n) || w.left.propose === 0) return [];
  const ballot = w.ballot + 1;
  const voters = w.nodes.filter((x) => reach(w, n, x) && decides(x, v.epoch + 1));
  const promised = voters.flatMap((x) => {
    const vote = VoterRules.promise(x.vote, x.view!.epoch, v.epoch + 1, ballot, x.granted.length > 0);
    return vote ? [{ ...x, vote }] : [];
  });
  if (promised.length < Views.majority(v)) return [];
  return proposals(w, n, v).map((own) => {
    const value = VoterRules.chooseView(
      promised.map((x) => ({ took: x.vote.took })),
      own,
    );
    const after = put({ ...w, ballot, left: { ...w.left, propose: w.left.propose - 1 } }, ...promised);
    const self = after.nodes.find((x) => x.id === n.id)!;
    return {
      name: `${n.id} proposes ${ModelKeys.view(value)}`,
      next: put(after, { ...self, round: { ballot, value } }),
    };
  });
};
const accept = (w: ModelWorld, n: Node): Step[] => {
  const { round, view } = n;
  if (!n.up || !round || !view) return [];
  const voters = w.nodes.filter((x) => reach(w, n, x) && decides(x, round.value.epoch));
  const all = voters.flatMap((x) => {
    const vote = VoterRules.accept(x.vote, x.view!.epoch, round.ballot, round.value, x.granted.length > 0);
    return vote ? [{ ...x, vote }] : [];
  });
  const subsets = [all, ...all.map((x) => [x])];
  return subsets.map((some) => {
    const after = put(w, ...some);
    const self = after.nodes.find((x) => x.id === n.id)!;
    const names = some.map((x) => x.id).join(', ');
    if (some.length < Views.majority(view))
      return { name: `${names} accept it, and no majority`, next: put(after, { ...self, round: null }) };
    const old = w.chosen[round.value.epoch];
    const chosen = { ...w.chosen, [round.value.epoch]: round.value };
    const next = put({ ...after, chosen }, adopted(self, round.value));
    const clash = old && !ModelKeys.same(old, round.value);
    return { name: `${names} accept it`, next, ...(clash ? { broken: 'two views were chosen for one epoch' } : {}) };
  });
};
const learn = (w: ModelWorld, n: Node): Step[] => {
  const best = w.nodes
    .filter((x) => reach(w, n, x) && x.view && x.view.epoch > (n.view?.epoch ?? 0))
    .sort((a, b) => b.view!.epoch - a.view!.epoch)[0];
  return best && n.up
    ? [{ name: `${n.id} learns view ${best.view!.epoch}`, next: put(w, adopted(n, best.view!)) }]
    : [];
};
/** The head hands what it holds down the chain, as far as it goes; at the tail it has passed. */
const hand = (w: ModelWorld, n: Node, write: boolean): Step[] => {
  const v = n.view;
  if (!n.up || !v || !Views.sameMember(Views.head(v), n)) return [];
  const may = ModelInvariants.live(n) && n.ready === v.epoch && ChainRules.canCommit(v) && w.left.write > 0;
  if (write && !may) return [];
  const log = write ? n.log + String.fromCharCode(97 + n.log.length) : n.log;
  const left = write ? { ...w.left, write: w.left.write - 1 } : w.left;
  const out: Step[] = [];
  const changed: Node[] = [{ ...n, log, fresh: v.epoch }];
  const does = write ? `${n.id} writes ${log}` : `${n.id} hands down ${log}`;
  for (let i = 1; i < v.chain.length; i++) {
    if (write || i > 1) out.push({ name: `${does} to ${i} more`, next: put({ ...w, left }, ...changed) });
    const node = alive(w, v.chain[i]!);
    const above = alive(w, v.chain[i - 1]!);
    if (!node?.view || !above || !reach(w, above, node)) return out;
    const held = { fresh: node.fresh, seq: node.log.length };
    if (!ChainRules.acceptsState(node.view, node, above, v.epoch, held, log.length)) return out;
    changed.push({ ...node, log, fresh: v.epoch });
  }
  const shown = ChainRules.canCommit(v) ? log : null;
  const passed = changed.map((x, i) => ({ ...x, shown, ...(i === 0 ? { ready: v.epoch } : {}) }));
  const acked = write && ModelInvariants.live(n);
  const lost = acked && !log.startsWith(w.told) ? { broken: `${log} was confirmed after ${w.told}` } : {};
  return [
    ...out,
    { name: `${does} to the tail`, next: put({ ...w, left, told: acked ? log : w.told }, ...passed), ...lost },
  ];
};
const read = (w: ModelWorld, n: Node): Step[] => {
  if (!ModelInvariants.live(n) || n.shown === null || !Views.sameMember(Views.tail(n.view!), n)) return [];
  if (!n.shown.startsWith(w.told))
    return [{ name: `${n.id} is read`, next: w, broken: `${n.shown} was read after ${w.told}` }];
  return n.shown === w.told ? [] : [{ name: `${n.id} is read`, next: { ...w, told: n.shown } }];
};
const trouble = (w: ModelWorld, n: Node): Step[] => {
  const lapsed = { granted: ['?'], leases: [], fresh: 0, ready: 0, shown: null, round: null };
  const out: Step[] = [];
  const spend = (what: 'crash' | 'wipe' | 'cut'): ModelWorld => ({
    ...w,
    left: { ...w.left, [what]: w.left[what] - 1 },
  });
  if (n.up && w.left.crash > 0)
    out.push({ name: `${n.id} stops`, next: put(spend('crash'), { ...n, ...lapsed, up: false }) });
  if (!n.up) out.push({ name: `${n.id} starts`, next: put(w, { ...n, up: true }) });
  if (w.left.wipe > 0) {
    const empty = { view: null, vote: null, log: '', granted: [] };
    out.push({
      name: `${n.id} loses its disk`,
      next: put(spend('wipe'), { ...n, ...lapsed, ...empty, born: `${n.born}'`, up: true }),
    });
  }
  if (w.cut === null && w.left.cut > 0) out.push({ name: `${n.id} is cut off`, next: { ...spend('cut'), cut: n.id } });
  if (w.cut === n.id) out.push({ name: `${n.id}'s cut heals`, next: { ...w, cut: null } });
  return out;
};

/** All that may happen next in a state of the model. The decisions are those of the product's own pure functions. */
export const ModelActions = {
  of: (w: ModelWorld): Step[] =>
    w.nodes.flatMap((n) => [
      ...[...beat(w, n), ...lapse(w, n), ...propose(w, n), ...accept(w, n), ...learn(w, n)],
      ...[...hand(w, n, false), ...hand(w, n, true), ...read(w, n), ...trouble(w, n)],
    ]),
};
