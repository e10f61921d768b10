import { Hash, type Clock, type Ident, type VersionStamp, type Messenger } from '@pumicebarrow/forms';
import type { View } from '@pumicebarrow/registry';
import { PeerSelector } from './peerselector.js';
import { RouterMessages } from './routermessages.js';

type Dependencies = {
  clock: Clock;
  post: Messenger;
  view: () => View | null;
  /** Whether this replica is the head and holds its lease. */
  isActingHead: () => boolean;
  configurationVersion: () => number;
  /** Version stamp and age of the server list that this replica published under the current view. */
  publishedList: () => { mark: VersionStamp; age: number } | null;
};
/** The oldest entries are dropped beyond this many. */
const MAX_ROUTERS = 20_000;
/** A router that has not checked in for this long is forgotten. */
const ROUTER_EXPIRY_MS = 2000;
/** Peers to which a router sends its loads: all others up to this many, and only a few in a larger fleet. */
const ALL_PEERS_LIMIT = 16;
/** Number of peers of a router in a larger fleet. */
const PEER_COUNT = 6;
/** Digest that a router sends while it has no peers. */
const NO_PEERS_DIGEST = Hash.ofValue([]);
/** Prompt tokens to prefill at prefill servers (`read`) and at decode servers (`beside`), and runs. */
type Load = { read: number; beside: number; run: number };
type RouterEntry = { ident: Ident; load: Load; expiresAt: number };

/**
 * Handles the routers' periodic check-ins at the head. Its knowledge of the routers is soft state: a new head starts
 * without it and rebuilds it from their next check-ins. Invariant: entries are kept in the order of their expiry, since
 * all have the same lifetime.
 */
export const CheckinHandler = {
  make(deps: Dependencies) {
    const entries = new Map<string, RouterEntry>();
    const peerSelector = PeerSelector.make({ mono: deps.clock.mono, peerCount: PEER_COUNT });
    const remove = (id: string): void => {
      entries.delete(id);
      peerSelector.remove(id);
    };
    const evictExpired = (): void => {
      const now = deps.clock.mono();
      for (const [id, entry] of entries) {
        if (entry.expiresAt > now && entries.size <= MAX_ROUTERS) break;
        remove(id);
      }
    };
    const recordCheckin = (ident: Ident, load: Load): void => {
      if (!entries.delete(ident.id)) peerSelector.add(ident.id);
      entries.set(ident.id, { ident, load, expiresAt: deps.clock.mono() + ROUTER_EXPIRY_MS });
    };
    const liveEntries = (): RouterEntry[] => {
      evictExpired();
      return [...entries.values()];
    };
    /**
     * The router's peers, or null if they are the ones it already has. In a large fleet a router keeps the same few
     * peers while they live, and every router is a peer of about as many others. Until all routers have been ranked for
     * it, a router that has peers keeps them.
     */
    const peersIfChanged = (ident: Ident, heldDigest: string): Ident[] | null => {
      const isLargeFleet = entries.size - (entries.has(ident.id) ? 1 : 0) > ALL_PEERS_LIMIT;
      const { ids: peerIds, whole: complete } = isLargeFleet
        ? peerSelector.peersOf(ident.id)
        : { ids: [...entries.keys()].filter((id) => id !== ident.id), whole: true };
      if (!complete && heldDigest !== NO_PEERS_DIGEST) return null;
      const peers = [...peerIds].sort().map((id) => entries.get(id)!.ident);
      return Hash.ofValue(peers) === heldDigest ? null : peers;
    };
    deps.post.on('keeper.checkin', RouterMessages.checkinRequest, (body, from) => {
      const isActingHead = deps.isActingHead();
      const view = deps.view();
      evictExpired();
      if (isActingHead) recordCheckin(from, body.load);
      const publishedList = isActingHead ? deps.publishedList() : null;
      return {
        ok: isActingHead,
        view: view && view.epoch > body.epoch ? view : null,
        version: deps.configurationVersion(),
        list: publishedList?.mark ?? null,
        age: publishedList?.age ?? 0,
        routers: entries.size,
        peers: isActingHead ? peersIfChanged(from, body.peers) : null,
      };
    });
    return {
      routers: (): Ident[] => liveEntries().map((entry) => entry.ident),
      /** Load in progress of all routers together: prompt tokens at prefill servers and at decode servers, and runs. */
      load: (): Load =>
        liveEntries().reduce(
          (sum, { load }) => ({
            read: sum.read + load.read,
            beside: sum.beside + load.beside,
            run: sum.run + load.run,
          }),
          { read: 0, beside: 0, run: 0 },
        ),
    };
  },
};
