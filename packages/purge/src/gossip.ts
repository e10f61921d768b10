import {
  Random,
  VersionOrder,
  Timer,
  type Doc,
  type Ident,
  type Notice,
  type Messenger,
  type World,
} from '@pumicebarrow/forms';
import { ArrivalLog } from './arrivallog.js';
import type { RecordStore } from './recordstore.js';
import { PeerCache } from './peercache.js';
import { NoticeCache } from './noticecache.js';
import type { PeerDescriptor } from './peerdescriptor.js';
import { DocPuller } from './docpuller.js';
import { RangeDigests } from './rangedigests.js';
import { GossipSchemas } from './gossipschemas.js';
import type { Arrival } from './arrival.js';
import type { GossipSettings } from './gossipsettings.js';

/** Every this many rounds a daemon known by other means is added to the peer cache. */
const REJOIN_ROUNDS = 8;
/** Where a record is pulled from; `who` is null if only the address is known. */
type Source = { who: Ident | null; addr: string };

/**
 * The Decrepol gossip protocol in one daemon: one exchange per round, in the seven steps of the paper.
 * Invariant: a daemon passes a notice on only while its record store holds that version or a newer one, so a pull from
 * the sender of a notice succeeds for as long as the sender lives.
 */
export const Gossip = {
  /** `seeds`: addresses to contact while no peer is known; `known`: daemons known by other means than gossip. */
  make(
    world: World,
    post: Messenger,
    self: () => Ident,
    recordStore: RecordStore,
    settings: GossipSettings,
    seeds: () => readonly string[],
    known: () => readonly Ident[] = () => [],
  ) {
    const { clock, random } = world;
    const log = world.log('purge');
    const peerCache = PeerCache.make(clock, random, settings.ids, self);
    const noticeCache = NoticeCache.make(clock, random, settings.notes, settings.round);
    const arrivals = ArrivalLog.make(512);
    const puller = DocPuller.make(post, recordStore, Math.max(400, settings.round * 2));
    const counters = { rounds: 0, mails: 0, pulls: 0, fallbacks: 0, repairs: 0, repaired: 0, misses: 0 };
    /** Consecutive exchanges in which the partner's digest of all records differed from ours. */
    let differingRounds = 0;
    let stop: () => void = () => undefined;

    const store = (doc: Doc, arrival: Omit<Arrival, 'name' | 'mark' | 'round' | 'wall'>): boolean => {
      if (!recordStore.offer(doc)) return false;
      arrivals.add({ ...arrival, name: doc.name, mark: doc.mark, round: counters.rounds, wall: clock.wall() });
      world.recordEvent({
        what: 'held',
        name: doc.name,
        mark: doc.mark,
        via: arrival.via,
        from: arrival.from,
        hops: arrival.hops,
      });
      return true;
    };
    const pull = (source: Source, name: string): Promise<Doc | null> => {
      counters.pulls++;
      return puller.pull(source.addr, source.who?.id ?? '', name);
    };
    /**
     * Step 5: pulls the version from the sender of the notice or, if that fails, from up to three other peers. Returns
     * whether the version, or a newer one, is held.
     */
    const fetch = async (notice: Notice, sender: Ident): Promise<boolean> => {
      if (!VersionOrder.isNewer(notice.date, recordStore.stamp(notice.name))) return true;
      const arrival = { from: sender.id, origin: notice.from, hops: notice.hops, age: notice.age };
      const doc = await pull({ who: sender, addr: sender.addr }, notice.name);
      if (doc && !VersionOrder.isNewer(notice.date, doc.mark)) {
        store(doc, { ...arrival, via: 'sender' });
        return true;
      }
      const alternatives = Random.sample(
        random,
        peerCache.all().filter((peer) => peer.id !== sender.id),
        3,
      );
      for (const peer of alternatives) {
        counters.fallbacks++;
        const other = await pull({ who: peer, addr: peer.addr }, notice.name);
        if (other && !VersionOrder.isNewer(notice.date, other.mark)) {
          store(other, { ...arrival, from: peer.id, via: 'fallback' });
          return true;
        }
      }
      counters.misses++;
      return !VersionOrder.isNewer(notice.date, recordStore.stamp(notice.name));
    };
    /** Steps 5 to 7, which are the same for the initiator and its partner. */
    const processExchange = async (
      notices: readonly Notice[],
      sender: Ident,
      receivedPeers: readonly PeerDescriptor[],
      sentPeers: readonly PeerDescriptor[],
    ): Promise<void> => {
      peerCache.merge(receivedPeers, sentPeers);
      const fetched = await Promise.all(notices.map((notice) => fetch(notice, sender)));
      noticeCache.add(notices.filter((_, i) => fetched[i]));
      noticeCache.evictExcess();
    };
    /** Compares range digests with a peer, pulls what is newer there, and caches notices of what is newer here. */
    const repair = async (who: Ident): Promise<void> => {
      counters.repairs++;
      const reply = await post.ask(
        who.addr,
        who.id,
        'purge.sums',
        { sums: RangeDigests.digests(recordStore.records()) },
        GossipSchemas.marks,
        settings.round * 4,
      );
      if (!reply.ok) return;
      const { want, give } = RangeDigests.reconcile(recordStore.records(), reply.val.marks, reply.val.sums);
      for (const name of want) {
        const doc = await pull({ who, addr: who.addr }, name);
        if (doc && store(doc, { via: 'repair', from: who.id, origin: who.id, hops: 0, age: 0 })) {
          counters.repaired++;
          noticeCache.add([{ name, date: doc.mark, age: 0, from: who.id, hops: 0 }]);
        }
      }
      const newerHere = give
        .map((name) => recordStore.get(name)!)
        .map((d) => ({ name: d.name, date: d.mark, age: 0, from: self().id, hops: 0 }));
      noticeCache.add(Random.sample(random, newerHere, settings.notes));
      noticeCache.evictExcess();
    };
    /** Starts a repair once the digests have differed in the configured number of consecutive exchanges. */
    const compareDigest = async (who: Ident, sum: string): Promise<void> => {
      differingRounds = sum === recordStore.digest() ? 0 : differingRounds + 1;
      if (settings.unlike > 0 && differingRounds >= settings.unlike) {
        differingRounds = 0;
        await repair(who);
      }
    };
    /** The partner of the next exchange: the oldest peer of the cache, otherwise a random seed. */
    const nextPartner = (): Source | null => {
      const who = peerCache.takeOldest();
      if (who) return { who, addr: who.addr };
      const addr = Random.pick(
        random,
        seeds().filter((a) => a !== self().addr),
      );
      return addr ? { who: null, addr } : null;
    };
    /** Adds a daemon that is known by other means but is not in the peer cache, as an introducer would. */
    const rejoin = (): void => {
      const cached = new Set(peerCache.all().map((peer) => peer.id));
      const who = Random.pick(
        random,
        known().filter((daemon) => !cached.has(daemon.id) && daemon.id !== self().id),
      );
      if (who) peerCache.merge([{ who, age: 0 }], []);
    };
    const runRound = async (): Promise<void> => {
      counters.rounds++;
      if (counters.rounds % REJOIN_ROUNDS === 0) rejoin();
      const partner = nextPartner();
      if (!partner) return;
      const sentPeers = peerCache.requestSample(settings.idLength);
      const notices = noticeCache.sampleToSend(settings.noteLength);
      counters.mails++;
      const reply = await post.ask(
        partner.addr,
        partner.who?.id ?? '',
        'purge.news',
        { ids: sentPeers, notes: notices, sum: recordStore.digest() },
        GossipSchemas.reply,
        settings.round * 4,
      );
      if (!reply.ok) return;
      const who = reply.val.who;
      await processExchange(reply.val.notes, who, reply.val.ids, sentPeers);
      peerCache.keepIfRoom(who);
      await compareDigest(who, reply.val.sum);
    };

    post.on('purge.news', GossipSchemas.news, (body, from) => {
      const sentPeers = peerCache.replySample(settings.idLength);
      const notices = noticeCache.sampleToSend(settings.noteLength);
      void processExchange(body.notes, from, body.ids, sentPeers);
      return { who: self(), ids: sentPeers, notes: notices, sum: recordStore.digest() };
    });
    post.on('purge.sums', GossipSchemas.sums, (body) => ({
      marks: RangeDigests.differing(recordStore.records(), body.sums),
      sums: RangeDigests.digests(recordStore.records()),
    }));

    return {
      start(): void {
        log.info('Gossip started.');
        stop = Timer.every(clock, settings.round, runRound);
      },
      stop(): void {
        stop();
      },
      /** Publishes a version created by this daemon: it is stored first, then its notice is spread. */
      publish(doc: Doc): boolean {
        if (!store(doc, { via: 'origin', from: self().id, origin: self().id, hops: 0, age: 0 })) return false;
        noticeCache.add([{ name: doc.name, date: doc.mark, age: 0, from: self().id, hops: 0 }]);
        return true;
      },
      /** Takes a version learnt by other means than gossip, as after a start, a suspension or a long silence. */
      learn(doc: Doc, from: string): boolean {
        if (!store(doc, { via: 'catchup', from, origin: from, hops: 0, age: 0 })) return false;
        noticeCache.add([{ name: doc.name, date: doc.mark, age: 0, from, hops: 0 }]);
        return true;
      },
      /** Adds daemons to the peer cache. */
      addPeers: (daemons: readonly Ident[]): void =>
        peerCache.merge(
          daemons.map((who) => ({ who, age: 0 })),
          [],
        ),
      removePeer: (id: string): void => peerCache.remove(id),
      /** Runs one exchange now. */
      runRound,
      peers: (): readonly Ident[] => peerCache.all(),
      notices: (): readonly Notice[] => noticeCache.all(),
      /** The latest arrivals, of all records or of one. */
      arrivals: (name?: string): readonly Arrival[] => (name === undefined ? arrivals.all() : arrivals.byName(name)),
      /** Totals since the start, by metric label. */
      counters: () => ({ ...counters, ...puller.counters(), evicted: noticeCache.evicted() }),
    };
  },
};
