import { expect } from 'chai';
import { HeadCheckin } from './headcheckin.js';

type ScheduledCall = { at: number; fn: () => void };

/** The check-in of a daemon that has version 7, while the head of the chain already has version 8. */
const setup = (tailReplies: readonly boolean[]) => {
  let now = 0;
  let version = 7;
  let headVersion: number | null = 8;
  let timers: ScheduledCall[] = [];
  const reads: number[] = [];
  const after = (ms: number, fn: () => void): (() => void) => {
    const timer = { at: now + ms, fn };
    timers.push(timer);
    return () => {
      timers = timers.filter((x) => x !== timer);
    };
  };
  const checkin = HeadCheckin.make({
    clock: { mono: () => now, wall: () => now, after },
    controlClient: {
      checkin: () => Promise.resolve(headVersion === null ? null : { version: headVersion, roster: null, load: {} }),
    },
    sheet: { version: () => version },
    recordStore: { digest: () => 's' },
    newest: {
      readTail: () => {
        const replied = tailReplies[reads.push(now) - 1] ?? true;
        if (replied) version = Math.max(version, headVersion ?? 8);
        return Promise.resolve(replied);
      },
    },
    demand: () => ({ read: 0, write: 0 }),
  } as unknown as Parameters<typeof HeadCheckin.make>[0]);
  return {
    checkin,
    reads,
    version: () => version,
    /** Simulates that gossip has brought a version. */
    gossip(v: number): void {
      version = v;
    },
    setHead(v: number | null): void {
      headVersion = v;
    },
    /** Advances the clock, running the timers that fall due. */
    async advance(ms: number): Promise<void> {
      const end = now + ms;
      for (;;) {
        await new Promise((done) => setImmediate(done));
        const nextTimer = timers.sort((a, b) => a.at - b.at)[0];
        if (!nextTimer || nextTimer.at > end) break;
        timers.shift();
        now = nextTimer.at;
        nextTimer.fn();
      }
      now = end;
    },
  };
};

describe('HeadCheckin', () => {
  it('reads from the tail when the time given to gossip is over, not at a later check-in', async () => {
    const s = setup([true]);
    await s.checkin.tick();
    await s.advance(480);
    await s.checkin.tick();
    await s.advance(480);
    expect(s.reads).to.deep.equal([600]);
    expect(s.version()).to.equal(8);
  });
  it('reads from the tail even if no later check-in is answered', async () => {
    const s = setup([true]);
    await s.checkin.tick();
    s.setHead(null);
    await s.advance(1000);
    expect(s.reads).to.deep.equal([600]);
  });
  it('reads nothing if gossip brings the version in time', async () => {
    const s = setup([true]);
    await s.checkin.tick();
    await s.advance(590);
    s.gossip(8);
    await s.advance(1000);
    await s.checkin.tick();
    expect(s.reads).to.deep.equal([]);
  });
  it('gives gossip the full time again for each further version', async () => {
    const s = setup([true]);
    await s.checkin.tick();
    await s.advance(400);
    s.gossip(8);
    s.setHead(9);
    await s.checkin.tick();
    await s.advance(590);
    expect(s.reads).to.deep.equal([]);
    await s.advance(10);
    expect(s.reads).to.deep.equal([1000]);
  });
  it('reads again at the next check-in if the tail did not reply', async () => {
    const s = setup([false, true]);
    await s.checkin.tick();
    await s.advance(700);
    await s.checkin.tick();
    await s.advance(0);
    expect(s.reads).to.deep.equal([600, 700]);
    await s.advance(2000);
    expect(s.reads).to.have.length(2);
  });
});
