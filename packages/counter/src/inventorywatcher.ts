import { Random, Timer, type Ident, type Messenger, type World } from '@pumicebarrow/forms';
import { Type } from 'typebox';
import type { ListedServer } from './listedserver.js';
import type { InventorySource } from './inventorysource.js';
import { InventoryList } from './inventorylist.js';

const MAX_AGE_MS = 2500;
const POLL_INTERVAL_MS = 400;
/** How long after a list was requested a request sent by it may still start at a server. */
const SEND_WINDOW_MS = 3000;
/** Reply of a peer: its list, if recent enough, and how old that is in ms. */
const PeerList = Type.Object(
  { list: Type.Union([InventoryList, Type.Null()]), age: Type.Number({ minimum: 0 }) },
  { additionalProperties: false },
);

/**
 * Keeps the most recent list of servers that can be had from the platform, or from a peer while the platform does not
 * answer. Invariants: a list's age is counted from before it was requested, in monotonic ms, and is passed on with it;
 * a list older than 2.5 s is not used.
 */
export const InventoryWatcher = {
  make(
    world: World,
    post: Messenger,
    source: InventorySource,
    peers: () => readonly Ident[],
    checkSuspension: () => void = () => undefined,
  ) {
    let list: InventoryList | null = null;
    let listedAt = -Infinity;
    let invalidatedAt = -Infinity;
    let serversById: ReadonlyMap<string, ListedServer> = new Map();
    const listeners: ((servers: readonly ListedServer[]) => void)[] = [];
    let stop: () => void = () => undefined;
    const age = (): number => world.clock.mono() - listedAt;
    const accept = (next: InventoryList, at: number): void => {
      checkSuspension();
      if (at <= listedAt || at < invalidatedAt) return;
      list = next;
      listedAt = at;
      serversById = new Map(next.servers.map((s) => [s.id, s]));
      for (const listener of listeners) listener(next.servers);
    };
    const poll = async (): Promise<void> => {
      const requestedAt = world.clock.mono();
      const reply = await source.poll();
      if (reply.ok) {
        accept(reply.val, requestedAt);
        return;
      }
      const peer = Random.pick(world.random, peers());
      if (!peer) return;
      const peerAskedAt = world.clock.mono();
      const peerReply = await post.ask(peer.addr, peer.id, 'town.list', {}, PeerList, POLL_INTERVAL_MS);
      if (peerReply.ok && peerReply.val.list && peerReply.val.age < MAX_AGE_MS)
        accept(peerReply.val.list, peerAskedAt - peerReply.val.age);
    };
    post.on('town.list', Type.Object({}), () => ({ list: age() < MAX_AGE_MS ? list : null, age: list ? age() : 0 }));
    return {
      start(): void {
        stop = Timer.every(world.clock, POLL_INTERVAL_MS, poll);
      },
      stop(): void {
        stop();
      },
      /** Calls the listener with each new list. */
      onChange(listener: (servers: readonly ListedServer[]) => void): void {
        listeners.push(listener);
      },
      isFresh(): boolean {
        checkSuspension();
        return age() < MAX_AGE_MS;
      },
      /** Discards the list and requests another: after a suspension of unknown length its age is unknown. */
      invalidate(): void {
        listedAt = -Infinity;
        invalidatedAt = world.clock.mono();
        void poll();
      },
      /** Age of the list in ms. */
      age,
      /** The instant after which no request sent by this list may start at a server. */
      sendDeadline: (): number => listedAt + SEND_WINDOW_MS,
      /** All servers listed; none if the list is too old. */
      all(): readonly ListedServer[] {
        checkSuspension();
        return age() < MAX_AGE_MS ? (list?.servers ?? []) : [];
      },
      /** The server, if a list that is recent at this instant shows it, in this incarnation, as serving; else null. */
      findServing(id: string, incarnation?: string): ListedServer | null {
        checkSuspension();
        if (age() >= MAX_AGE_MS) return null;
        const server = serversById.get(id);
        return server && server.mark === 'serving' && (incarnation === undefined || server.born === incarnation)
          ? server
          : null;
      },
    };
  },
};
