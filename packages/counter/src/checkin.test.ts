import { expect } from 'chai';
import { Checkin } from './checkin.js';

type Timed = { at: number; fn: () => void };

/** A daemon that holds version 7 and checks in when told to; the head has passed version 8. */
const bench = (tailReplies: readonly boolean[]) => {
  let now = 0;
  let version = 7;
  let head: number | null = 8;
  let timers: Timed[] = [];
  const reads: number[] = [];
  const after = (ms: number, fn: () => void): (() => void) => {
    const t = { at: now + ms, fn };
    timers.push(t);
    return () => {
      timers = timers.filter((x) => x !== t);
    };
  };
  const checkin = Checkin.make({
    clock: { mono: () => now, wall: () => now, after },
    line: {
      checkin: () => Promise.resolve(head === null ? null : { version: head, roster: null, load: {} }),
    },
    sheet: { version: () => version },
    shelf: { sum: () => 's' },
    newest: {
      tail: () => {
        const replied = tailReplies[reads.push(now) - 1] ?? true;
        if (replied) version = Math.max(version, head ?? 8);
        return Promise.resolve(replied);
      },
    },
    demand: () => ({ read: 0, write: 0 }),
  } as unknown as Parameters<typeof Checkin.make>[0]);
  return {
    checkin,
    reads,
    version: () => version,
    /** Gossip brings a version. */
    gossip(v: number): void {
      version = v;
    },
    head(v: number | null): void {
      head = v;
    },
    /** Lets time go on for so long. */
    async pass(ms: number): Promise<void> {
      const end = now + ms;
      for (;;) {
        await new Promise((done) => setImmediate(done));
        const first = timers.sort((a, b) => a.at - b.at)[0];
        if (!first || first.at > end) break;
        timers.shift();
        now = first.at;
        first.fn();
      }
      now = end;
    },
  };
};

describe('The check-in', () => {
  it('reads at the tail when the time given to gossip is over, not at a later check-in', async () => {
    const b = bench([true]);
    await b.checkin.tick();
    await b.pass(480);
    await b.checkin.tick();
    await b.pass(480);
    expect(b.reads).to.deep.equal([600]);
    expect(b.version()).to.equal(8);
  });
  it('reads at the tail though no later check-in is replied to', async () => {
    const b = bench([true]);
    await b.checkin.tick();
    b.head(null);
    await b.pass(1000);
    expect(b.reads).to.deep.equal([600]);
  });
  it('leaves it to gossip where that is in time', async () => {
    const b = bench([true]);
    await b.checkin.tick();
    await b.pass(590);
    b.gossip(8);
    await b.pass(1000);
    await b.checkin.tick();
    expect(b.reads).to.deep.equal([]);
  });
  it('gives gossip its time anew for each version that it brought late', async () => {
    const b = bench([true]);
    await b.checkin.tick();
    await b.pass(400);
    b.gossip(8);
    b.head(9);
    await b.checkin.tick();
    await b.pass(590);
    expect(b.reads).to.deep.equal([]);
    await b.pass(10);
    expect(b.reads).to.deep.equal([1000]);
  });
  it('reads anew at the next check-in where the tail did not reply', async () => {
    const b = bench([false, true]);
    await b.checkin.tick();
    await b.pass(700);
    await b.checkin.tick();
    await b.pass(0);
    expect(b.reads).to.deep.equal([600, 700]);
    await b.pass(2000);
    expect(b.reads).to.have.length(2);
  });
});
