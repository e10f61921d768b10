import { BootstrapRules, VoterRules, Views, type View } from '@pumicebarrow/registry';
import type { BootstrapWorld } from './bootstrapworld.js';

type Candidate = BootstrapWorld['candidates'][number];
type Introducer = BootstrapWorld['introducers'][number];
type Step = { name: string; next: BootstrapWorld; broken?: string };
const EPOCH = 1;
const member = (id: string) => ({ id, born: 'b', addr: id });
const ordered = (ids: Iterable<string>): string[] => [...new Set(ids)].sort();
const known = (c: Candidate): string[] => ordered([c.id, ...c.met]);
const reach = (w: BootstrapWorld, a: string, b: string): boolean =>
  w.half === null || w.half.includes(a) === w.half.includes(b);
const put = (w: BootstrapWorld, ...changed: Candidate[]): BootstrapWorld => ({
  ...w,
  candidates: w.candidates.map((c) => changed.findLast((x) => x.id === c.id) ?? c),
});
const candidate = (w: BootstrapWorld, id: string): Candidate | undefined => w.candidates.find((c) => c.id === id);
const adopted = (c: Candidate, view: View): Candidate => ({ ...c, view, round: null });
const names = (view: View): string => view.voters.map((m) => m.id).join(' ');
const sameVoters = (a: View, b: View): boolean => names(a) === names(b);
const propose = (w: BootstrapWorld, c: Candidate, value: View, promisers: readonly string[]): BootstrapWorld => {
  const ballot = w.ballot + 1;
  const round = { ballot, value, promisers, promised: false };
  return put({ ...w, ballot, left: { ...w.left, propose: w.left.propose - 1 } }, { ...c, round });
};

/** Notes at everyone asked that this candidate was met; gives the world after it and what they replied. */
const meetAll = (w: BootstrapWorld, c: Candidate) => {
  const targets = ordered([...w.seeds, ...c.told, ...c.met]).filter((id) => id !== c.id && reach(w, c.id, id));
  const noted = <T extends Candidate | Introducer>(x: T): T =>
    targets.includes(x.id) ? { ...x, met: ordered([...x.met, c.id]) } : x;
  const after = { ...w, candidates: w.candidates.map(noted), introducers: w.introducers.map(noted) };
  const replies = targets.map((id) => {
    const other = candidate(after, id);
    const met = other ? known(other) : after.introducers.find((i) => i.id === id)!.met;
    const took = other?.vote?.took?.view ?? null;
    return { me: member(id), took, met: met.map(member), view: other?.view ?? null };
  });
  return { after, replies };
};
/** One turn of a candidate without a view, up to where it proposes one. */
const turn = (w: BootstrapWorld, c: Candidate): Step[] => {
  if (c.view || c.round) return [];
  const took = c.vote?.took?.view;
  if (took && Views.isVoter(took, member(c.id))) {
    if (w.left.propose === 0) return [];
    const next = propose(
      w,
      c,
      took,
      took.voters.map((m) => m.id),
    );
    return [{ name: `${c.id} takes up ${names(took)}`, next }];
  }
  const { after, replies } = meetAll(w, c);
  const held = replies.find((r) => r.view)?.view;
  if (held) return [{ name: `${c.id} learns the view`, next: put(w, adopted(c, held)) }];
  const themselves = replies.filter((r) => r.met.some((m) => m.id === r.me.id)).map((r) => r.me.id);
  const told = ordered(replies.flatMap((r) => r.met.map((m) => m.id)));
  const self = { ...c, told, met: ordered([...c.met, ...themselves]) };
  const met = { name: `${c.id} meets ${replies.map((r) => r.me.id).join(' ')}`, next: put(after, self) };
  const me = member(c.id);
  const list = BootstrapRules.sortedById(known(self).map(member));
  const first = BootstrapRules.firstView(list, me, {
    tolerance: { machines: w.losses, zones: 0, regions: 0 },
    locate: () => null,
  });
  const replied = replies.map((r) => r.me.addr);
  const may =
    first &&
    BootstrapRules.seedMajorityReplied(w.seeds, me.addr, replied) &&
    BootstrapRules.candidatesAgree(list, me, replies);
  if (!may || w.left.propose === 0) return [met];
  const next = propose(
    met.next,
    self,
    first,
    list.map((m) => m.id),
  );
  return [{ name: `${met.name} and proposes ${names(first)}`, next }];
};
/** Those without a view that can be asked by a candidate. */
const asked = (w: BootstrapWorld, c: Candidate, ids: readonly string[]): Candidate[] =>
  ids.flatMap((id) => candidate(w, id) ?? []).filter((x) => reach(w, c.id, x.id) && x.view === null);
const promise = (w: BootstrapWorld, c: Candidate): Step[] => {
  const { round } = c;
  if (!round || round.promised) return [];
  const promised = asked(w, c, round.promisers).flatMap((x) => {
    const vote = VoterRules.promise(x.vote, 0, EPOCH, round.ballot, false);
    return vote ? [{ ...x, vote }] : [];
  });
  const after = put(w, ...promised);
  const self = candidate(after, c.id)!;
  const taken = promised.some((x) => x.vote.took);
  const [all, most] = [round.promisers.length, round.value.voters.length];
  const value = VoterRules.chooseView(
    promised.map((x) => ({ took: x.vote.took })),
    round.value,
  );
  const enough =
    !BootstrapRules.isSuperseded(all, most, taken) &&
    promised.length >= BootstrapRules.promisesNeeded(all, most, taken) &&
    sameVoters(value, round.value);
  const who = promised.map((x) => x.id).join(' ');
  return enough
    ? [{ name: `${who} promise ${c.id}`, next: put(after, { ...self, round: { ...round, value, promised: true } }) }]
    : [{ name: `${who} promise ${c.id}, too few`, next: put(after, { ...self, round: null }) }];
};
const subsets = <T>(all: readonly T[]): T[][] =>
  all.reduce<T[][]>((some, x) => [...some, ...some.map((s) => [...s, x])], [[]]).filter((s) => s.length > 0);
const accept = (w: BootstrapWorld, c: Candidate): Step[] => {
  const { round } = c;
  if (!round?.promised) return [];
  const { value, ballot } = round;
  const able = asked(
    w,
    c,
    value.voters.map((m) => m.id),
  ).flatMap((x) => {
    const vote = VoterRules.accept(x.vote, 0, ballot, { ...value, epoch: EPOCH }, false);
    return vote ? [{ ...x, vote }] : [];
  });
  return subsets(able).map((some) => {
    const after = put(w, ...some);
    const self = candidate(after, c.id)!;
    const name = `${some.map((x) => x.id).join(' ')} accept ${names(value)}`;
    if (some.length < Views.majority(value)) return { name, next: put(after, { ...self, round: null }) };
    const next = put({ ...after, chosen: value }, adopted(self, value));
    const clash = w.chosen !== null && !sameVoters(w.chosen, value);
    return clash ? { name, next, broken: 'two first views were chosen' } : { name, next };
  });
};
const halves = (w: BootstrapWorld): string[][] => {
  const [first, ...rest] = [...w.candidates, ...w.introducers].map((x) => x.id);
  return subsets(rest).filter((half) => !half.includes(first!));
};
const trouble = (w: BootstrapWorld): Step[] => {
  const out: Step[] = [];
  const spend = (what: keyof BootstrapWorld['left']): BootstrapWorld => ({
    ...w,
    left: { ...w.left, [what]: w.left[what] - 1 },
  });
  if (w.left.restart > 0)
    for (const c of w.candidates)
      out.push({ name: `${c.id} restarts`, next: put(spend('restart'), { ...c, met: [], told: [], round: null }) });
  if (w.left.forget > 0)
    for (const i of w.introducers)
      if (i.met.length > 0) {
        const introducers = w.introducers.map((x) => (x.id === i.id ? { ...x, met: [] } : x));
        out.push({ name: `${i.id} forgets`, next: { ...spend('forget'), introducers } });
      }
  if (w.half !== null) out.push({ name: 'the cut heals', next: { ...w, half: null } });
  else if (w.left.cut > 0)
    for (const half of halves(w)) out.push({ name: `${half.join(' ')} are cut off`, next: { ...spend('cut'), half } });
  return out;
};

/** All that may happen next in a state of the model of the first view. The decisions are the product's own. */
export const BootstrapActions = {
  of: (w: BootstrapWorld): Step[] => [
    ...w.candidates.flatMap((c) => [...turn(w, c), ...promise(w, c), ...accept(w, c)]),
    ...trouble(w),
  ],
};
