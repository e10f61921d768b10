import { Err, Ok, type Ident, type Messenger, type World } from '@pumicebarrow/forms';
import { expect } from 'chai';
import { ControlClient } from './controlclient.js';
import type { View } from '../consensus/view.js';

type Timed = { at: number; fn: () => void };
const member = (id: string) => ({ id, born: 'b', addr: `${id}:1` });
const voters = ['c1', 'c2', 'c3'].map(member);
const view = (epoch: number, chain: readonly string[]): View => ({ epoch, voters, chain: chain.map(member) });
const old = view(5, ['c2', 'c3', 'c1']);
const next = view(6, ['c3', 'c1']);
const checked = (ok: boolean, newView: View) => ({
  ok,
  view: newView,
  version: 8,
  roster: [],
  load: { read: 0, write: 0 },
});

/** A client that knows the old view, among daemons that reply after `replyMs` or, if in `silent`, never. */
const setUp = (
  silent: readonly string[],
  informed: readonly string[],
  seeds: readonly string[] = [],
  replyMs = 2,
  startsWithView = true,
) => {
  let now = 0;
  let timers: Timed[] = [];
  const asked: string[] = [];
  const after = (ms: number, fn: () => void): (() => void) => {
    const timer = { at: now + ms, fn };
    timers.push(timer);
    return () => {
      timers = timers.filter((x) => x !== timer);
    };
  };
  const replies = (id: string, kind: string): unknown => {
    const reported = informed.includes(id) ? next : old;
    return kind === 'core.hint' ? { view: reported } : checked(reported.chain[0]!.id === id, reported);
  };
  const post = {
    on: () => undefined,
    ask: (addr: string, _to: string, kind: string, _body: unknown, _form: unknown, timeoutMs: number) => {
      const id = addr.slice(0, 2);
      asked.push(`${now} ${id} ${kind}`);
      return new Promise((done) => {
        if (silent.includes(id)) after(timeoutMs, () => done(Err('lost')));
        else after(replyMs, () => done(Ok(replies(id, kind))));
      });
    },
  } as unknown as Messenger;
  const clock = { mono: () => now, wall: () => now, after };
  const world = { clock, random: { real: () => 0.5 } } as unknown as World;
  const client = ControlClient.make(world, post, () => seeds);
  if (startsWithView) client.learn(old);
  return {
    asked,
    line: client,
    after,
    /** Advances time until the job is done and returns the time at which it was. */
    async until(job: Promise<unknown>): Promise<number> {
      let open = true;
      void job.then(() => {
        open = false;
      });
      for (;;) {
        await new Promise((done) => setImmediate(done));
        if (!open) return now;
        const first = timers.sort((a, fixture) => a.at - fixture.at).shift();
        if (!first) throw new Error('No timer is left to advance to.');
        now = first.at;
        first.fn();
      }
    },
  };
};
const request = { version: 7, sum: 's', load: { read: 0, write: 0 } };
const peers: readonly Ident['addr'][] = ['e1:1', 'e2:1', 'e3:1', 'e4:1'];

describe('ControlClient', () => {
  it('ends a view query with the first reply that has a newer view, even if other daemons are silent', async () => {
    const fixture = setUp(['c2', 'e1', 'e2', 'e3', 'e4'], ['c1', 'c3'], peers);
    expect(await fixture.until(fixture.line.look())).to.equal(2);
    expect(fixture.line.view()?.epoch).to.equal(6);
  });
  it('ends a view query without a newer view before the requests to silent daemons time out', async () => {
    const fixture = setUp(['c1', 'c2', 'c3', 'e1'], [], peers);
    expect(await fixture.until(fixture.line.look())).to.equal(250);
    expect(fixture.line.view()?.epoch).to.equal(5);
  });
  it('learns a newer view from replies that arrive after the view query has ended', async () => {
    const fixture = setUp([], ['c1', 'c3'], [], 300);
    expect(await fixture.until(fixture.line.look())).to.equal(250);
    expect(fixture.line.view()?.epoch).to.equal(5);
    await fixture.until(new Promise((done) => fixture.after(100, () => done(null))));
    expect(fixture.line.view()?.epoch).to.equal(6);
  });
  it('waits the full request timeout for replies if no view is known', async () => {
    const fixture = setUp([], ['c1'], ['c1:1'], 300, false);
    expect(await fixture.until(fixture.line.look())).to.equal(300);
    expect(fixture.line.view()?.epoch).to.equal(6);
  });
  it('queries members of the known view even among many other addresses', async () => {
    const crowd = Array.from({ length: 60 }, (_, i) => `e${i}:1`);
    const fixture = setUp(['c2'], ['c1', 'c3'], crowd);
    await fixture.until(fixture.line.look());
    expect(fixture.line.view()?.epoch).to.equal(6);
  });
  it('checks in with the new head without delay if the known head is silent', async () => {
    const fixture = setUp(['c2', 'e1', 'e2', 'e3', 'e4'], ['c1', 'c3'], peers);
    let got: unknown = null;
    const job = fixture.line.checkin(request).then((r) => {
      got = r;
    });
    expect(await fixture.until(job)).to.equal(254);
    expect(got).to.deep.equal(checked(true, next));
  });
  it('checks in with the new head without delay if the old head reports the newer view', async () => {
    const fixture = setUp([], ['c1', 'c2', 'c3']);
    let got: unknown = null;
    const job = fixture.line.checkin(request).then((r) => {
      got = r;
    });
    expect(await fixture.until(job)).to.equal(4);
    expect(got).to.deep.equal(checked(true, next));
  });
  it('sends one check-in request to a silent head while no newer view is known', async () => {
    const fixture = setUp(['c2'], [], peers);
    let got: unknown = 'none';
    const job = fixture.line.checkin(request).then((r) => {
      got = r;
    });
    await fixture.until(job);
    expect(got).to.equal(null);
    expect(fixture.asked.filter((a) => a.endsWith('core.checkin'))).to.have.length(1);
  });
});
