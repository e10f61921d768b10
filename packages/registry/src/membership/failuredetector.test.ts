import { Err, Ok, type Messenger, type World } from '@pumicebarrow/forms';
import { expect } from 'chai';
import { CoreTimings } from '../coretimings.js';
import type { AddressBook } from './addressbook.js';
import type { View } from '../consensus/view.js';
import type { Voter } from '../consensus/voter.js';
import { FailureDetector } from './failuredetector.js';

const member = (id: string) => ({ id, born: 'b', addr: `${id}:1` });
const [k1, k2, k3] = [member('k1'), member('k2'), member('k3')];
const VIEW: View = { epoch: 3, chain: [k1, k2, k3], voters: [k1, k2, k3] };

/** The detector of k2, which always receives heartbeats from k1; each test sets whether k1 replies. */
const setUp = () => {
  let now = 0;
  let replies = true;
  const post = {
    ask: (_addr: string, id: string) =>
      Promise.resolve(
        id === 'k1' && !replies
          ? Err('lost')
          : Ok({ me: member(id), view: VIEW, claim: true, sick: false, fresh: true }),
      ),
  } as unknown as Messenger;
  const clock = { mono: () => now, wall: () => now, after: () => () => undefined };
  const addresses = {
    addressOf: (m: { addr: string }) => m.addr,
    search: () => Promise.resolve(),
  } as unknown as AddressBook;
  const voter = { grantLease: () => true } as unknown as Voter;
  const detector = FailureDetector.make({ clock } as unknown as World, post, () => k2, addresses, voter);
  return {
    detector,
    reply(replying: boolean): void {
      replies = replying;
    },
    async runHeartbeats(ms: number): Promise<void> {
      for (const end = now + ms; now < end; now += 150) {
        detector.recordHeartbeat(k1, { sick: false, fresh: true, epoch: 3 });
        await detector.sendHeartbeats(VIEW, { sick: false, fresh: true });
        await new Promise((done) => setImmediate(done));
      }
    },
    advance(ms: number): void {
      now += ms;
    },
  };
};

describe('FailureDetector', () => {
  it('detects a member that sends heartbeats but answers none', async () => {
    const fixture = setUp();
    await fixture.runHeartbeats(600);
    expect(fixture.detector.unansweredForMs(k1)).to.equal(0);
    fixture.reply(false);
    await fixture.runHeartbeats(1500);
    expect(fixture.detector.unansweredForMs(k1)).to.equal(1500);
    expect(fixture.detector.unansweredForMs(k3)).to.equal(0);
    expect(fixture.detector.silentForMs(k1)).to.be.at.most(150);
  });
  it('clears that state with the first reply', async () => {
    const fixture = setUp();
    fixture.reply(false);
    await fixture.runHeartbeats(1500);
    fixture.reply(true);
    await fixture.runHeartbeats(150);
    expect(fixture.detector.unansweredForMs(k1)).to.equal(0);
  });
  /**
   * A member may share its event loop with a router. However long that loop is blocked, the lease expires by the
   * monotonic clock, counted from before the last heartbeat: no timer or reply has to run first.
   */
  it('holds no lease that expired while the event loop was blocked', async () => {
    const sinceBeat = 150;
    for (let blocked = 0; blocked <= 3000; blocked += 10) {
      const fixture = setUp();
      await fixture.runHeartbeats(600);
      expect(fixture.detector.holdsLease(VIEW)).to.equal(true);
      fixture.advance(blocked);
      expect(fixture.detector.holdsLease(VIEW), `${blocked} ms`).to.equal(
        blocked + sinceBeat < CoreTimings.viewLeaseMs,
      );
    }
  });
  it('ignores time in which this daemon was suspended, and starts over in a new view', async () => {
    const fixture = setUp();
    fixture.reply(false);
    await fixture.runHeartbeats(1500);
    fixture.advance(5000);
    await fixture.runHeartbeats(150);
    expect(fixture.detector.unansweredForMs(k1)).to.equal(150);
    fixture.detector.reset();
    expect(fixture.detector.unansweredForMs(k1)).to.equal(0);
  });
});
