import { Verdicts } from '@pumicebarrow/forms';
import { expect } from 'chai';
import { LendingControl } from './lendingcontrol.js';

const spec = { key: 'a', rule: 'rollout', prompts: [{ prefix: 'p', part: 'q' }], samples: 3, repeats: 0 };
const rig = (reached = true) => {
  const written: unknown[] = [];
  const desk = LendingControl.make({
    line: {
      write: (c: unknown) => {
        written.push(c);
        return Promise.resolve({ ruling: { verdict: Verdicts.ran('begun', 'x') }, term: 0, sent: 0 });
      },
      bursts: () => Promise.resolve(reached ? { ok: true, view: null, list: [], burst: null } : null),
    },
    lending: { loans: () => [], story: () => [] },
  } as never);
  return { desk, written };
};

describe('What is asked of lending', () => {
  const bad: [string, unknown, string[]][] = [
    ['no body', null, ['']],
    ['a key with other letters', { ...spec, key: 'a.b' }, ['/key']],
    ['no prompt', { ...spec, prompts: [] }, ['/prompts']],
    ['a key not known, and no samples', { ...spec, samples: 0, more: 1 }, ['/more', '/samples']],
  ];
  for (const [name, body, paths] of bad) {
    it(`is turned away with ${name}, and nothing is written`, async () => {
      const { desk, written } = rig();
      const { verdict } = await desk.begin(body);
      expect(verdict.code).to.equal('bad');
      expect([...new Set(verdict.faults!.map((f) => f.path))].sort()).to.deep.equal(paths);
      expect(written).to.deep.equal([]);
    });
  }
  it('begins and ends a burst by one command each', async () => {
    const { desk, written } = rig();
    expect(await desk.begin(spec)).to.include({ key: 'a', total: 3 });
    await desk.end('a');
    expect(written).to.deep.equal([
      { do: 'begin', spec },
      { do: 'end', id: 'a' },
    ]);
  });
  it('says that it can not tell while the core does not reply', async () => {
    const { desk } = rig(false);
    expect((await desk.burst('a')).verdict.code).to.equal('unready');
    expect((await desk.bursts()).verdict.code).to.equal('unready');
  });
  it('knows no burst and no loan that is not there', async () => {
    const { desk } = rig();
    expect((await desk.burst('a')).verdict.code).to.equal('unknown');
    expect(desk.loan('m1').verdict.code).to.equal('unknown');
  });
});
