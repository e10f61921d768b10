import { Err, Ok, type PostBox, type World } from '@pumicebarrow/forms';
import { expect } from 'chai';
import { CoreTimings } from '../coretimings.js';
import type { AddressBook } from './addressbook.js';
import type { View } from '../consensus/view.js';
import type { Voter } from '../consensus/voter.js';
import { FailureDetector } from './failuredetector.js';

const member = (id: string) => ({ id, born: 'b', addr: `${id}:1` });
const [k1, k2, k3] = [member('k1'), member('k2'), member('k3')];
const VIEW: View = { epoch: 3, chain: [k1, k2, k3], voters: [k1, k2, k3] };

/** k2, to which k1 speaks all the while; whether k1 replies is up to the case. */
const bench = () => {
  let now = 0;
  let replies = true;
  const post = {
    ask: (_addr: string, id: string) =>
      Promise.resolve(
        id === 'k1' && !replies
          ? Err('lost')
          : Ok({ me: member(id), view: VIEW, claim: true, sick: false, fresh: true }),
      ),
  } as unknown as PostBox;
  const clock = { mono: () => now, wall: () => now, after: () => () => undefined };
  const addresses = {
    addressOf: (m: { addr: string }) => m.addr,
    search: () => Promise.resolve(),
  } as unknown as AddressBook;
  const voter = { grantLease: () => true } as unknown as Voter;
  const detector = FailureDetector.make({ clock } as unknown as World, post, () => k2, addresses, voter);
  return {
    detector,
    reply(on: boolean): void {
      replies = on;
    },
    async beats(ms: number): Promise<void> {
      for (const end = now + ms; now < end; now += 150) {
        detector.recordHeartbeat(k1, { sick: false, fresh: true, epoch: 3 });
        await detector.sendHeartbeats(VIEW, { sick: false, fresh: true });
        await new Promise((done) => setImmediate(done));
      }
    },
    sleep(ms: number): void {
      now += ms;
    },
  };
};

describe('The watch over the core', () => {
  it('knows one that is heard and replies to no beat', async () => {
    const b = bench();
    await b.beats(600);
    expect(b.detector.unansweredForMs(k1)).to.equal(0);
    b.reply(false);
    await b.beats(1500);
    expect(b.detector.unansweredForMs(k1)).to.equal(1500);
    expect(b.detector.unansweredForMs(k3)).to.equal(0);
    expect(b.detector.silentForMs(k1)).to.be.at.most(150);
  });
  it('forgets it with the first reply', async () => {
    const b = bench();
    b.reply(false);
    await b.beats(1500);
    b.reply(true);
    await b.beats(150);
    expect(b.detector.unansweredForMs(k1)).to.equal(0);
  });
  /**
   * A member may share its event loop with a router. However long something blocks that loop, the lease is over by the
   * steady clock, counted from before the last beat: no timer or reply has to run first.
   */
  it('speaks under no lease that ended while the event loop was blocked', async () => {
    const sinceBeat = 150;
    for (let blocked = 0; blocked <= 3000; blocked += 10) {
      const b = bench();
      await b.beats(600);
      expect(b.detector.holdsLease(VIEW)).to.equal(true);
      b.sleep(blocked);
      expect(b.detector.holdsLease(VIEW), `${blocked} ms`).to.equal(blocked + sinceBeat < CoreTimings.viewLeaseMs);
    }
  });
  it('counts nothing over a sleep of its own, and from a new view on afresh', async () => {
    const b = bench();
    b.reply(false);
    await b.beats(1500);
    b.sleep(5000);
    await b.beats(150);
    expect(b.detector.unansweredForMs(k1)).to.equal(150);
    b.detector.reset();
    expect(b.detector.unansweredForMs(k1)).to.equal(0);
  });
});
