import type { Charter } from '@pumicebarrow/forms';
import type { SheetRow, View } from '@pumicebarrow/registry';

type Daemon = { id: string; role: string; reached: boolean; sure: boolean; version: number | null };
type Seen = {
  /** The charter's version at the tail; null when the core did not reply. */
  version: number | null;
  view: View | null;
  daemons: readonly Daemon[];
  rows: readonly SheetRow[];
  charter: Charter | null;
  /** What the platform lists as serving; null with no young list. */
  listed: readonly { id: string; born: string }[] | null;
};

const core = (s: Seen): string[] => {
  if (s.version === null) return ['the core does not reply: no charter, claim or order can change'];
  const out = (s.view?.voters ?? []).filter((v) => !s.view!.chain.some((m) => m.id === v.id));
  return out.map((v) => `core ${v.id} is out of the chain`);
};
const daemon = (s: Seen, d: Daemon): string[] => {
  if (!d.reached) return [`${d.id} can not be reached`];
  if (!d.sure && d.role === 'registry') return [`${d.id} has no claim on the chain, and says nothing`];
  if (!d.sure) return [`${d.id} can not tell its charter yet, and lets nothing in`];
  if (s.version !== null && (d.version ?? 0) < s.version)
    return [`${d.id} holds charter ${d.version ?? 'none'}, not ${s.version}`];
  return [];
};
const servers = (s: Seen): string[] => {
  if (s.charter === null) return ['there is no charter: plan and confirm one'];
  if (s.listed === null) return ["the platform's list is away or old: requests are bounced"];
  const lit = s.listed;
  return s.charter.servers.flatMap(({ id }) => {
    const there = lit.find((l) => l.id === id),
      row = s.rows.find((r) => r.server === id);
    if (!there) return [`server ${id} is not listed as serving`];
    if (!row || row.born !== there.born) return [`server ${id} has not been ordered yet in its present life`];
    return row.stage === 'dark' ? [`server ${id} is dark`] : [];
  });
};
const floors = (s: Seen): string[] => {
  if (s.charter === null || s.listed === null) return [];
  return (['prefill', 'decode'] as const).flatMap((part) => {
    const n = s.rows.filter((r) => r.part === part && r.stage === 'serving').length,
      least = s.charter!.casting.floor[part];
    return n < least ? [`${n} servers ${part}, fewer than the floor of ${least}`] : [];
  });
};

/** Why the fleet is not well, in plain words, the gravest first; nothing when it is. */
export const Wellness = {
  wrong: (s: Seen): string[] => [...core(s), ...floors(s), ...servers(s), ...s.daemons.flatMap((d) => daemon(s, d))],
};
