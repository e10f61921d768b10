import type { Ident, PostBox, Result, WireFault } from '@pumicebarrow/forms';
import { StatusDesk, type DaemonStatus } from '@pumicebarrow/router';
import { Views } from '@pumicebarrow/registry';
import type { Daemon } from './daemon.js';

type Place = { addr: string; who: Ident | null };
type Told = Result<DaemonStatus, WireFault>;
const ASK = 1200;
const CORE = 'core';
const named = (who: Ident, told: DaemonStatus | null): Daemon => ({
  ...{ id: who.id, addr: who.addr, role: who.role === 'registry' ? 'keeper' : 'router', zone: who.site, told },
});

/** Who there is. Invariant: each daemon is asked by its own name, and one that moved counts once. */
export const Census = {
  ask: (post: PostBox, p: Place, servers: boolean): Promise<Told> =>
    post.ask(p.addr, p.who?.id ?? '', 'status.tell', { servers }, StatusDesk.forms.told, ASK),
  /** Begins with some that replied and goes on to all whom they know, and whom those know. */
  async take(post: PostBox, first: readonly DaemonStatus[]): Promise<Daemon[]> {
    const met = new Map<string, Daemon>();
    const tried = new Set<string>();
    const reached = (id: string): boolean => Boolean(met.get(id)?.told);
    const hear = (told: DaemonStatus): Ident[] => {
      met.set(told.who.id, named(told.who, told));
      return [...Views.idents(told.view), ...told.known];
    };
    const fresh = (list: readonly Ident[]): Ident[] =>
      list.filter((who) => {
        const name = `${who.id} ${who.addr}`;
        if (reached(who.id) || tried.has(name)) return false;
        tried.add(name);
        return true;
      });
    let next = fresh(first.flatMap(hear));
    while (next.length > 0) {
      const got = await Promise.all(next.map((who) => Census.ask(post, { addr: who.addr, who }, false)));
      const heard = got.flatMap((r, i) => {
        const who = next[i]!;
        if (r.ok) return hear(r.val);
        if (!met.has(who.id)) met.set(who.id, named(who, null));
        return [];
      });
      next = fresh(heard);
    }
    // Of one that is known by the view alone the zone is not known.
    const all = [...met.values()].map((d) => (d.zone === CORE ? { ...d, zone: '?' } : d));
    return all.sort((a, b) => (a.role === b.role ? (a.id < b.id ? -1 : 1) : a.role === 'keeper' ? -1 : 1));
  },
};
