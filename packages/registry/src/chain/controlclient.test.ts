import { Err, Ok, type Ident, type PostBox, type World } from '@pumicebarrow/forms';
import { expect } from 'chai';
import { ControlClient } from './controlclient.js';
import type { View } from '../consensus/view.js';

type Timed = { at: number; fn: () => void };
const member = (id: string) => ({ id, born: 'b', addr: `${id}:1` });
const voters = ['c1', 'c2', 'c3'].map(member);
const view = (epoch: number, chain: readonly string[]): View => ({ epoch, voters, chain: chain.map(member) });
const old = view(5, ['c2', 'c3', 'c1']);
const next = view(6, ['c3', 'c1']);
const checked = (ok: boolean, v: View) => ({ ok, view: v, version: 8, roster: [], load: { read: 0, write: 0 } });

/** A line that knows the old view, among daemons that reply in so many ms, or never. */
const bench = (
  silent: readonly string[],
  knowing: readonly string[],
  seeds: readonly string[] = [],
  ms = 2,
  known = true,
) => {
  let now = 0;
  let timers: Timed[] = [];
  const asked: string[] = [];
  const after = (ms: number, fn: () => void): (() => void) => {
    const t = { at: now + ms, fn };
    timers.push(t);
    return () => {
      timers = timers.filter((x) => x !== t);
    };
  };
  const replies = (id: string, kind: string): unknown => {
    const v = knowing.includes(id) ? next : old;
    return kind === 'core.hint' ? { view: v } : checked(v.chain[0]!.id === id, v);
  };
  const post = {
    on: () => undefined,
    ask: (addr: string, _to: string, kind: string, _body: unknown, _form: unknown, most: number) => {
      const id = addr.slice(0, 2);
      asked.push(`${now} ${id} ${kind}`);
      return new Promise((done) => {
        if (silent.includes(id)) after(most, () => done(Err('lost')));
        else after(ms, () => done(Ok(replies(id, kind))));
      });
    },
  } as unknown as PostBox;
  const clock = { mono: () => now, wall: () => now, after };
  const world = { clock, chance: { real: () => 0.5 } } as unknown as World;
  const line = ControlClient.make(world, post, () => seeds);
  if (known) line.learn(old);
  return {
    asked,
    line,
    after,
    /** Lets time go on until the job is done, and says when that was. */
    async until(job: Promise<unknown>): Promise<number> {
      let open = true;
      void job.then(() => {
        open = false;
      });
      for (;;) {
        await new Promise((done) => setImmediate(done));
        if (!open) return now;
        const first = timers.sort((a, b) => a.at - b.at).shift();
        if (!first) throw new Error('Nothing is left to wait for.');
        now = first.at;
        first.fn();
      }
    },
  };
};
const body = { version: 7, sum: 's', load: { read: 0, write: 0 } };
const peers: readonly Ident['addr'][] = ['e1:1', 'e2:1', 'e3:1', 'e4:1'];

describe('The line to the core', () => {
  it('ends a look with the first word of a newer view, whoever else is silent', async () => {
    const b = bench(['c2', 'e1', 'e2', 'e3', 'e4'], ['c1', 'c3'], peers);
    expect(await b.until(b.line.look())).to.equal(2);
    expect(b.line.view()?.epoch).to.equal(6);
  });
  it('ends a look that brought nothing newer before the silent are given up', async () => {
    const b = bench(['c1', 'c2', 'c3', 'e1'], [], peers);
    expect(await b.until(b.line.look())).to.equal(250);
    expect(b.line.view()?.epoch).to.equal(5);
  });
  it('learns of a look that is over from those that were slow to reply', async () => {
    const b = bench([], ['c1', 'c3'], [], 300);
    expect(await b.until(b.line.look())).to.equal(250);
    expect(b.line.view()?.epoch).to.equal(5);
    await b.until(new Promise((done) => b.after(100, () => done(null))));
    expect(b.line.view()?.epoch).to.equal(6);
  });
  it('waits for a first view as long as for any reply', async () => {
    const b = bench([], ['c1'], ['c1:1'], 300, false);
    expect(await b.until(b.line.look())).to.equal(300);
    expect(b.line.view()?.epoch).to.equal(6);
  });
  it('looks among the members of the view it knows, however many others there are', async () => {
    const crowd = Array.from({ length: 60 }, (_, i) => `e${i}:1`);
    const b = bench(['c2'], ['c1', 'c3'], crowd);
    await b.until(b.line.look());
    expect(b.line.view()?.epoch).to.equal(6);
  });
  it('checks in with the next head at once where the head it knew is silent', async () => {
    const b = bench(['c2', 'e1', 'e2', 'e3', 'e4'], ['c1', 'c3'], peers);
    let got: unknown = null;
    const job = b.line.checkin(body).then((r) => {
      got = r;
    });
    expect(await b.until(job)).to.equal(254);
    expect(got).to.deep.equal(checked(true, next));
  });
  it('checks in with the next head at once where the old one names it', async () => {
    const b = bench([], ['c1', 'c2', 'c3']);
    let got: unknown = null;
    const job = b.line.checkin(body).then((r) => {
      got = r;
    });
    expect(await b.until(job)).to.equal(4);
    expect(got).to.deep.equal(checked(true, next));
  });
  it('asks no silent head twice in one check-in while no newer view is known', async () => {
    const b = bench(['c2'], [], peers);
    let got: unknown = 'none';
    const job = b.line.checkin(body).then((r) => {
      got = r;
    });
    await b.until(job);
    expect(got).to.equal(null);
    expect(b.asked.filter((a) => a.endsWith('core.checkin'))).to.have.length(1);
  });
});
