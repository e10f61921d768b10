import type { Ident, PostBox, Result, WireFault } from '@pumicebarrow/forms';
import { StatusDesk, type DaemonStatus } from '@pumicebarrow/router';
import { Views } from '@pumicebarrow/registry';
import type { Daemon } from './daemon.js';

type DaemonAddress = { addr: string; who: Ident | null };
type StatusResult = Result<DaemonStatus, WireFault>;
const REQUEST_TIMEOUT_MS = 1200;
const CORE_ZONE = 'core';
const toDaemon = (who: Ident, status: DaemonStatus | null): Daemon => ({
  ...{ id: who.id, addr: who.addr, role: who.role === 'registry' ? 'keeper' : 'router', zone: who.site, told: status },
});

/** Who there is. Invariant: each daemon is asked by its own name, and one that moved counts once. */
export const FleetDiscovery = {
  requestStatus: (post: PostBox, daemon: DaemonAddress, includeServers: boolean): Promise<StatusResult> =>
    post.ask(
      daemon.addr,
      daemon.who?.id ?? '',
      'status.tell',
      { servers: includeServers },
      StatusDesk.forms.told,
      REQUEST_TIMEOUT_MS,
    ),
  /** Begins with some that replied and goes on to all whom they know, and whom those know. */
  async discover(post: PostBox, first: readonly DaemonStatus[]): Promise<Daemon[]> {
    const daemons = new Map<string, Daemon>();
    const queried = new Set<string>();
    const hasReplied = (id: string): boolean => Boolean(daemons.get(id)?.told);
    const recordStatus = (status: DaemonStatus): Ident[] => {
      daemons.set(status.who.id, toDaemon(status.who, status));
      return [...Views.idents(status.view), ...status.known];
    };
    const notYetQueried = (idents: readonly Ident[]): Ident[] =>
      idents.filter((who) => {
        const key = `${who.id} ${who.addr}`;
        if (hasReplied(who.id) || queried.has(key)) return false;
        queried.add(key);
        return true;
      });
    let next = notYetQueried(first.flatMap(recordStatus));
    while (next.length > 0) {
      const replies = await Promise.all(
        next.map((who) => FleetDiscovery.requestStatus(post, { addr: who.addr, who }, false)),
      );
      const learned = replies.flatMap((r, i) => {
        const who = next[i]!;
        if (r.ok) return recordStatus(r.val);
        if (!daemons.has(who.id)) daemons.set(who.id, toDaemon(who, null));
        return [];
      });
      next = notYetQueried(learned);
    }
    // Of one that is known by the view alone the zone is not known.
    const sorted = [...daemons.values()].map((d) => (d.zone === CORE_ZONE ? { ...d, zone: '?' } : d));
    return sorted.sort((a, b) => (a.role === b.role ? (a.id < b.id ? -1 : 1) : a.role === 'keeper' ? -1 : 1));
  },
};
