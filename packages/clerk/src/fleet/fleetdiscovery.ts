import type { Ident, Messenger, Result, RequestError } from '@pumicebarrow/forms';
import { StatusHandler, type DaemonStatus } from '@pumicebarrow/router';
import { Views } from '@pumicebarrow/registry';
import type { Daemon } from './daemon.js';

type DaemonAddress = { addr: string; who: Ident | null };
type StatusResult = Result<DaemonStatus, RequestError>;
const REQUEST_TIMEOUT_MS = 1200;
/** Zone that `Views.idents` gives to members of a view. */
const CORE_ZONE = 'core';
const toDaemon = (who: Ident, status: DaemonStatus | null): Daemon => ({
  ...{ id: who.id, addr: who.addr, role: who.role === 'registry' ? 'keeper' : 'router', zone: who.site, told: status },
});

/**
 * Finds all daemons of a routed fleet. Invariant: each status request names the daemon it is meant for, and a daemon
 * that changed its address is counted once.
 */
export const FleetDiscovery = {
  /** Requests a daemon's status; `who` is null where only an address is known. */
  requestStatus: (post: Messenger, daemon: DaemonAddress, includeServers: boolean): Promise<StatusResult> =>
    post.ask(
      daemon.addr,
      daemon.who?.id ?? '',
      'status.tell',
      { servers: includeServers },
      StatusHandler.schemas.response,
      REQUEST_TIMEOUT_MS,
    ),
  /** Starts from the daemons in `first` and follows the members and peers that each reports, transitively. */
  async discover(post: Messenger, first: readonly DaemonStatus[]): Promise<Daemon[]> {
    const daemons = new Map<string, Daemon>();
    const queried = new Set<string>();
    const hasReplied = (id: string): boolean => Boolean(daemons.get(id)?.told);
    const recordStatus = (status: DaemonStatus): Ident[] => {
      daemons.set(status.who.id, toDaemon(status.who, status));
      return [...Views.gossipPeers(status.view), ...status.known];
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
    // A daemon known only from the view carries the placeholder zone of the core, not its own.
    const known = [...daemons.values()].map((d) => (d.zone === CORE_ZONE ? { ...d, zone: '?' } : d));
    return known.sort((a, b) => (a.role === b.role ? (a.id < b.id ? -1 : 1) : a.role === 'keeper' ? -1 : 1));
  },
};
