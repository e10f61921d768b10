import { Dice, Order, Timer, type Doc, type Ident, type Notice, type PostBox, type World } from '@pumicebarrow/forms';
import { ArrivalLog } from './diary.js';
import type { Holding } from './holding.js';
import { PeerCache } from './idcache.js';
import { NoticeCache } from './notecache.js';
import type { PeerDescriptor } from './pointer.js';
import { DocPuller } from './pulling.js';
import { Ranges } from './ranges.js';
import { Slips } from './slips.js';
import type { Arrival } from './step.js';
import type { Tunes } from './tunes.js';

const REJOIN = 8;
type Place = { who: Ident | null; addr: string };

/**
 * Decrepol in one daemon: one gossip a round, in the source's seven steps.
 * Invariant: a notice is passed on only by a daemon whose shelf holds that version or a newer one,
 * so a pull from the sender finds it for as long as the sender lives.
 */
export const Purge = {
  make(
    world: World,
    post: PostBox,
    self: () => Ident,
    shelf: Holding,
    tunes: Tunes,
    seeds: () => readonly string[],
    known: () => readonly Ident[] = () => [],
  ) {
    const { clock, chance } = world;
    const log = world.log('purge');
    const ids = PeerCache.make(clock, chance, tunes.ids, self);
    const notes = NoticeCache.make(clock, chance, tunes.notes, tunes.round);
    const diary = ArrivalLog.make(512);
    const pulling = DocPuller.make(post, shelf, Math.max(400, tunes.round * 2));
    const count = { rounds: 0, mails: 0, pulls: 0, fallbacks: 0, repairs: 0, repaired: 0, misses: 0 };
    let unlike = 0;
    let stop: () => void = () => undefined;

    const enter = (doc: Doc, step: Omit<Arrival, 'name' | 'mark' | 'round' | 'wall'>): boolean => {
      if (!shelf.offer(doc)) return false;
      diary.add({ ...step, name: doc.name, mark: doc.mark, round: count.rounds, wall: clock.wall() });
      world.tell({ what: 'held', name: doc.name, mark: doc.mark, via: step.via, from: step.from, hops: step.hops });
      return true;
    };
    const pull = (from: Place, name: string): Promise<Doc | null> => {
      count.pulls++;
      return pulling.pull(from.addr, from.who?.id ?? '', name);
    };
    /** Step 5: fetch from the sender; when it is gone, from others of the view. */
    const fetch = async (note: Notice, sender: Ident): Promise<boolean> => {
      if (!Order.newer(note.date, shelf.mark(note.name))) return true;
      const step = { from: sender.id, origin: note.from, hops: note.hops, age: note.age };
      const doc = await pull({ who: sender, addr: sender.addr }, note.name);
      if (doc && !Order.newer(note.date, doc.mark)) {
        enter(doc, { ...step, via: 'sender' });
        return true;
      }
      const spare = Dice.some(
        chance,
        ids.all().filter((p) => p.id !== sender.id),
        3,
      );
      for (const p of spare) {
        count.fallbacks++;
        const other = await pull({ who: p, addr: p.addr }, note.name);
        if (other && !Order.newer(note.date, other.mark)) {
          enter(other, { ...step, from: p.id, via: 'fallback' });
          return true;
        }
      }
      count.misses++;
      return !Order.newer(note.date, shelf.mark(note.name));
    };
    /** Steps 5 to 7, alike for both sides. */
    const handle = async (
      got: readonly Notice[],
      sender: Ident,
      theirs: readonly PeerDescriptor[],
      sent: readonly PeerDescriptor[],
    ): Promise<void> => {
      ids.merge(theirs, sent);
      const good = await Promise.all(got.map((n) => fetch(n, sender)));
      notes.add(got.filter((_, i) => good[i]));
      notes.evictExcess();
    };
    const repair = async (who: Ident): Promise<void> => {
      count.repairs++;
      const back = await post.ask(
        who.addr,
        who.id,
        'purge.sums',
        { sums: Ranges.sums(shelf.table()) },
        Slips.marks,
        tunes.round * 4,
      );
      if (!back.ok) return;
      const { want, give } = Ranges.reconcile(shelf.table(), back.val.marks, back.val.sums);
      for (const name of want) {
        const doc = await pull({ who, addr: who.addr }, name);
        if (doc && enter(doc, { via: 'repair', from: who.id, origin: who.id, hops: 0, age: 0 })) {
          count.repaired++;
          notes.add([{ name, date: doc.mark, age: 0, from: who.id, hops: 0 }]);
        }
      }
      const mine = give
        .map((name) => shelf.get(name)!)
        .map((d) => ({ name: d.name, date: d.mark, age: 0, from: self().id, hops: 0 }));
      notes.add(Dice.some(chance, mine, tunes.notes));
      notes.evictExcess();
    };
    const compare = async (who: Ident, sum: string): Promise<void> => {
      unlike = sum === shelf.sum() ? 0 : unlike + 1;
      if (tunes.unlike > 0 && unlike >= tunes.unlike) {
        unlike = 0;
        await repair(who);
      }
    };
    const partner = (): Place | null => {
      const who = ids.takeOldest();
      if (who) return { who, addr: who.addr };
      const addr = Dice.one(
        chance,
        seeds().filter((a) => a !== self().addr),
      );
      return addr ? { who: null, addr } : null;
    };
    /** Now and then one that is known by other means but not in the view is let in, as an introducer would. */
    const rejoin = (): void => {
      const held = new Set(ids.all().map((p) => p.id));
      const who = Dice.one(
        chance,
        known().filter((k) => !held.has(k.id) && k.id !== self().id),
      );
      if (who) ids.merge([{ who, age: 0 }], []);
    };
    const round = async (): Promise<void> => {
      count.rounds++;
      if (count.rounds % REJOIN === 0) rejoin();
      const to = partner();
      if (!to) return;
      const sent = ids.selectForRequest(tunes.idLength);
      const slips = notes.selectToSend(tunes.noteLength);
      count.mails++;
      const back = await post.ask(
        to.addr,
        to.who?.id ?? '',
        'purge.news',
        { ids: sent, notes: slips, sum: shelf.sum() },
        Slips.reply,
        tunes.round * 4,
      );
      if (!back.ok) return;
      const who = back.val.who;
      await handle(back.val.notes, who, back.val.ids, sent);
      ids.keepIfRoom(who);
      await compare(who, back.val.sum);
    };

    post.on('purge.news', Slips.news, (body, from) => {
      const sent = ids.selectForReply(tunes.idLength);
      const slips = notes.selectToSend(tunes.noteLength);
      void handle(body.notes, from, body.ids, sent);
      return { who: self(), ids: sent, notes: slips, sum: shelf.sum() };
    });
    post.on('purge.sums', Slips.sums, (body) => ({
      marks: Ranges.unlike(shelf.table(), body.sums),
      sums: Ranges.sums(shelf.table()),
    }));

    return {
      start(): void {
        log.say('Gossip begins.');
        stop = Timer.every(clock, tunes.round, round);
      },
      stop(): void {
        stop();
      },
      /** A version made here: held first, then told. */
      publish(doc: Doc): boolean {
        if (!enter(doc, { via: 'origin', from: self().id, origin: self().id, hops: 0, age: 0 })) return false;
        notes.add([{ name: doc.name, date: doc.mark, age: 0, from: self().id, hops: 0 }]);
        return true;
      },
      /** A version learnt outside a gossip, after a start, a freeze or a long silence. */
      learn(doc: Doc, from: string): boolean {
        if (!enter(doc, { via: 'catchup', from, origin: from, hops: 0, age: 0 })) return false;
        notes.add([{ name: doc.name, date: doc.mark, age: 0, from, hops: 0 }]);
        return true;
      },
      meet: (list: readonly Ident[]): void =>
        ids.merge(
          list.map((who) => ({ who, age: 0 })),
          [],
        ),
      removePeer: (id: string): void => ids.remove(id),
      runRound: round,
      peers: (): readonly Ident[] => ids.all(),
      notices: (): readonly Notice[] => notes.all(),
      diary: (name?: string): readonly Arrival[] => (name === undefined ? diary.entries() : diary.entriesFor(name)),
      count: () => ({ ...count, ...pulling.counters(), evicted: notes.evicted() }),
    };
  },
};
