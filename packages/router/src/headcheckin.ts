import { Hash, VersionOrder, type Clock, type Ident, type VersionStamp, type Messenger } from '@pumicebarrow/forms';
import { GossipSchemas, type RecordStore, type GossipNode } from '@pumicebarrow/purge';
import { Views, type ControlClient } from '@pumicebarrow/registry';
import type { ServerListBody } from './serverlistbody.js';
import { ServerListRows } from './serverlistrows.js';
import type { ServerListing } from './serverlisting.js';
import { RouterMessages } from './routermessages.js';

type Dependencies = {
  clock: Clock;
  post: Messenger;
  /** Client of the control replicas. */
  controlClient: ControlClient;
  store: RecordStore;
  gossip: GossipNode;
  list: ServerListing;
  version: () => number;
  load: () => { read: number; beside: number; run: number };
  /** Reads the configuration at the tail. */
  readTail: (ms: number) => Promise<boolean>;
};
const REQUEST_TIMEOUT_MS = 500;
/** How long gossip may take to bring a newer version before it is fetched from the head. */
const GOSSIP_GRACE_MS = 500;

/**
 * A router's check-in with the head of the chain: reports which versions it holds and learns whether they are the
 * newest. Invariants: the freshness of the server list comes from the head alone and is counted from before the request
 * was sent; what gossip does not bring within GOSSIP_GRACE_MS is fetched, and counted separately; if versions follow
 * each other quickly, each has its own grace period.
 */
export const HeadCheckin = {
  make(deps: Dependencies) {
    let routerCount: number | null = null;
    let peers: readonly Ident[] = [];
    let peersDigest = Hash.ofValue(peers);
    let lastReplyAt = -Infinity;
    /** When the configuration held was last known to be the newest. */
    let lastConfirmedAt = -Infinity;
    let appliedMark: VersionStamp | null = null;
    let awaited: { version: number; at: number } | null = null;
    let listOutdatedSince = -1;
    const counts = { fetchedVersions: 0, fetchedLists: 0 };
    /**
     * Starts the grace period of each version separately, so that gossip that brings every version in time never counts
     * as late.
     */
    const recordNewest = (newest: number): void => {
      const held = deps.version();
      if (newest <= held) awaited = null;
      else if (!awaited || awaited.version <= held) awaited = { version: newest, at: deps.clock.mono() };
    };
    const fetchList = async (addr: string, id: string): Promise<void> => {
      const reply = await deps.post.ask(
        addr,
        id,
        'purge.pull',
        { name: 'list' },
        GossipSchemas.pulled,
        REQUEST_TIMEOUT_MS,
      );
      if (reply.ok && reply.val.doc && deps.gossip.learn(reply.val.doc, 'head')) counts.fetchedLists++;
    };
    const fetchIfGossipIsLate = async (addr: string, id: string): Promise<void> => {
      const now = deps.clock.mono();
      if (listOutdatedSince >= 0 && now - listOutdatedSince > GOSSIP_GRACE_MS) await fetchList(addr, id);
      if (awaited && now - awaited.at > GOSSIP_GRACE_MS && (await deps.readTail(400))) counts.fetchedVersions++;
    };
    const compareList = (mark: VersionStamp | null, age: number, sentAt: number): boolean => {
      const held = deps.store.get('list');
      if (!mark || !held || VersionOrder.isNewer(mark, held.mark)) return false;
      if (VersionOrder.compare(mark, held.mark) !== 0) return true;
      // A list is unpacked once; after that only its freshness is updated, unless a list from another source replaced
      // it meanwhile.
      const alreadyApplied = appliedMark !== null && VersionOrder.compare(mark, appliedMark) === 0;
      if (alreadyApplied && deps.list.confirm(sentAt - age)) return true;
      if (deps.list.replace(ServerListRows.unpack(held.body as ServerListBody), sentAt - age, 'shared'))
        appliedMark = mark;
      return true;
    };
    const checkIn = async (): Promise<boolean> => {
      const view = deps.controlClient.view();
      if (!view) return false;
      const head = Views.head(view);
      const sentAt = deps.clock.mono();
      const body = {
        ...{ version: deps.version(), list: deps.store.stamp('list'), epoch: view.epoch },
        ...{ peers: peersDigest, load: deps.load() },
      };
      const reply = await deps.post.ask(
        head.addr,
        head.id,
        'keeper.checkin',
        body,
        RouterMessages.checkinReply,
        REQUEST_TIMEOUT_MS,
      );
      if (!reply.ok) return false;
      deps.controlClient.learn(reply.val.view);
      if (!reply.val.ok) return false;
      lastReplyAt = sentAt;
      if (reply.val.version <= body.version) lastConfirmedAt = sentAt;
      routerCount = reply.val.routers;
      if (reply.val.peers) {
        peers = reply.val.peers;
        peersDigest = Hash.ofValue(peers);
      }
      const listIsCurrent = compareList(reply.val.list, reply.val.age, sentAt);
      recordNewest(reply.val.version);
      if (reply.val.list === null || listIsCurrent) listOutdatedSince = -1;
      else if (listOutdatedSince < 0) listOutdatedSince = deps.clock.mono();
      await fetchIfGossipIsLate(head.addr, head.id);
      return true;
    };
    return {
      async tick(): Promise<void> {
        if (!(await checkIn())) await deps.controlClient.look();
      },
      routerCount: (): number | null => routerCount,
      peers: (): readonly Ident[] => peers,
      /** Time since the head last replied as head, counted from before the request was sent. */
      msSinceReply: (): number => deps.clock.mono() - lastReplyAt,
      /**
       * Time since the head last confirmed that no configuration is newer than the one held, counted from before the
       * request was sent.
       */
      msSinceConfirmed: (): number => deps.clock.mono() - lastConfirmedAt,
      counts: () => ({ ...counts }),
    };
  },
};
