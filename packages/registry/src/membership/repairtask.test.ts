import { expect } from 'chai';
import type { Chain } from '../chain/chain.js';
import type { FailureDetector } from './failuredetector.js';
import { RepairTask } from './repairtask.js';
import type { ViewChanger } from '../consensus/viewchanger.js';
import type { View } from '../consensus/view.js';

const member = (id: string) => ({ id, born: 'b', addr: `${id}:1` });
const VIEW: View = { epoch: 3, chain: ['k1', 'k2', 'k3'].map(member), voters: ['k1', 'k2', 'k3'].map(member) };

describe('the repair', () => {
  const cases: [string, { live: (at: number) => boolean; me: string; ms: number }, number | null][] = [
    ['proposes nothing while leases are granted', { live: () => true, me: 'k1', ms: 20_000 }, null],
    ['waits a while for leases', { live: (at) => at > 1500, me: 'k1', ms: 20_000 }, null],
    ['makes the view anew where all are heard and none grants a lease', { live: () => false, me: 'k1', ms: 2500 }, 4],
    ['leaves that to the voters before it first', { live: () => false, me: 'k3', ms: 2500 }, null],
    ['makes it anew if those do not', { live: () => false, me: 'k3', ms: 3500 }, 4],
  ];
  for (const [name, { live, me, ms }, want] of cases) {
    it(name, () => {
      let at = 0;
      const proposed: View[] = [];
      const watch = {
        live: () => live(at),
        silent: () => 0,
        deaf: () => 0,
        heard: () => undefined,
        emptied: () => false,
      };
      const viewChanger = {
        busy: () => false,
        propose: (_: unknown, next: View) => Promise.resolve(proposed.push(next) > 0),
      };
      const m = RepairTask.make(
        () => member(me),
        () => at,
        watch as unknown as FailureDetector,
        viewChanger as unknown as ViewChanger,
        {} as Chain,
      );
      for (; at < ms; at += 150) m.mind(VIEW);
      expect(proposed[0]?.epoch ?? null).to.equal(want);
      if (want) expect(proposed[0]!.chain).to.deep.equal(VIEW.chain);
    });
  }

  /** Who leaves its beats without a reply, though all are heard, and the chain proposed after so many ms. */
  const lost: [string, { deaf: readonly string[]; me: string; ms: number }, string[] | null][] = [
    ['leaves in one that did not reply for a moment', { deaf: ['k1'], me: 'k2', ms: 2200 }, null],
    ['takes out a head that speaks but replies to nobody', { deaf: ['k1'], me: 'k2', ms: 2600 }, ['k2', 'k3']],
    ['leaves one that hears nobody to the voters before it first', { deaf: ['k1'], me: 'k3', ms: 2500 }, null],
    ['takes out nobody where no majority replies', { deaf: ['k2', 'k3'], me: 'k1', ms: 20_000 }, null],
  ];
  for (const [name, { deaf, me, ms }, want] of lost) {
    it(name, () => {
      let at = 0;
      const proposed: View[] = [];
      const watch = {
        live: () => true,
        silent: () => 0,
        deaf: (m: { id: string }) => (deaf.includes(m.id) ? at : 0),
        heard: () => undefined,
        emptied: () => false,
      };
      const viewChanger = {
        busy: () => false,
        propose: (_: unknown, next: View) => Promise.resolve(proposed.push(next) > 0),
      };
      const m = RepairTask.make(
        () => member(me),
        () => at,
        watch as unknown as FailureDetector,
        viewChanger as unknown as ViewChanger,
        { remend: () => undefined } as unknown as Chain,
      );
      for (; at < ms; at += 150) m.mind(VIEW);
      expect(proposed[0]?.chain.map((x) => x.id) ?? null).to.deep.equal(want);
    });
  }
});
