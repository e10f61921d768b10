import {
  SchemaCheck,
  Random,
  VersionOrder,
  Timer,
  type Ident,
  type VersionStamp,
  type Messenger,
  type World,
} from '@pumicebarrow/forms';
import { ServerListBody } from './serverlistbody.js';
import { ServerListRows } from './serverlistrows.js';
import type { ServerListSource } from './serverlistsource.js';
import type { ServerListing } from './serverlisting.js';
import { RouterMessages } from './routermessages.js';

type Dependencies = {
  world: World;
  post: Messenger;
  list: ServerListing;
  source: ServerListSource;
  peers: () => readonly Ident[];
  /** Version stamp of the shared list if that is the one held, else null. */
  mark: () => VersionStamp | null;
  /** Age of the list in ms at which other sources are asked, well below the age that stops sending. */
  fallbackAgeMs: () => number;
  routerCount: () => number | null;
};
const MIN_CHECK_INTERVAL_MS = 150;
/** Longest interval between checks while the list is fresh, since the list may be invalidated meanwhile. */
const MAX_CHECK_INTERVAL_MS = 600;
const REQUEST_TIMEOUT_MS = 400;
const PEERS_ASKED = 2;
/** Expected number of daemons, of a larger fleet, that ask the platform in one interval. */
const MAX_PLATFORM_ASKERS = 24;

/**
 * Refreshes a router's server list when the head does not: asks two other routers, and failing that the platform.
 * Invariants: a list that both routers hold is identified by its version stamp and not sent; the age travels with the
 * list and is counted from before it was asked for; the more daemons there are, the smaller the fraction of them that
 * asks the platform at once.
 */
export const ServerListFallback = {
  make(deps: Dependencies) {
    const { clock, random } = deps.world;
    const counts = { asked: 0, shared: 0 };
    let stop: () => void = () => undefined;
    /** An age reported for a list applies only while the list with that version stamp is still the one held. */
    const confirmSameList = (mark: VersionStamp, askedAt: number): boolean => {
      if (VersionOrder.compare(mark, deps.mark()) !== 0 || askedAt <= clock.mono() - deps.list.ageMs()) return false;
      return deps.list.confirm(askedAt);
    };
    const fromPeer = async (peer: Ident): Promise<boolean> => {
      const askedAt = clock.mono(),
        mark = deps.mark();
      const reply = await deps.post.ask(
        peer.addr,
        peer.id,
        'router.list',
        { mark },
        RouterMessages.listReply,
        REQUEST_TIMEOUT_MS,
      );
      if (!reply.ok) return false;
      if (mark && VersionOrder.compare(mark, reply.val.mark) === 0)
        return confirmSameList(mark, askedAt - reply.val.age);
      if (reply.val.servers === null || !SchemaCheck.matches(ServerListBody, reply.val.servers)) return false;
      if (askedAt - reply.val.age <= clock.mono() - deps.list.ageMs()) return false;
      deps.list.replace(ServerListRows.unpack(reply.val.servers as ServerListBody), askedAt - reply.val.age, 'asked');
      return true;
    };
    const fromPlatform = async (): Promise<void> => {
      const askedAt = clock.mono();
      counts.asked++;
      const reply = await deps.source.poll();
      if (reply.ok) deps.list.replace(reply.val, askedAt, 'asked');
    };
    const tick = async (): Promise<void> => {
      if (deps.list.ageMs() < deps.fallbackAgeMs()) return;
      const chosen = Random.sample(random, deps.peers(), PEERS_ASKED);
      const results = await Promise.all(chosen.map(fromPeer));
      if (results.some((g) => g)) counts.shared++;
      if (deps.list.ageMs() < deps.fallbackAgeMs()) return;
      const routerCount = deps.routerCount() ?? 1;
      if (
        routerCount <= MAX_PLATFORM_ASKERS ||
        !deps.list.isFresh() ||
        random.real() < MAX_PLATFORM_ASKERS / routerCount
      )
        await fromPlatform();
    };
    deps.post.on('router.list', RouterMessages.listRequest, (body) => {
      const isFresh = deps.list.isFresh();
      const sameList = isFresh && body.mark ? VersionOrder.compare(body.mark, deps.mark()) === 0 : false;
      return {
        mark: sameList ? deps.mark() : null,
        age: isFresh ? deps.list.ageMs() : 0,
        servers: isFresh && !sameList ? ServerListRows.pack(deps.list.lastKnownServers()) : null,
      };
    });
    return {
      start(): void {
        stop = Timer.everyVarying(
          clock,
          () =>
            Math.min(MAX_CHECK_INTERVAL_MS, Math.max(MIN_CHECK_INTERVAL_MS, deps.fallbackAgeMs() - deps.list.ageMs())),
          tick,
        );
      },
      stop: (): void => stop(),
      tick,
      counts: () => ({ ...counts }),
    };
  },
};
