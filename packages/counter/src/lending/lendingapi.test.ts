import { Verdicts } from '@pumicebarrow/forms';
import { expect } from 'chai';
import { LendingApi } from './lendingapi.js';

const spec = { key: 'a', rule: 'rollout', prompts: [{ prefix: 'p', part: 'q' }], samples: 3, repeats: 0 };
const setup = (coreReachable = true) => {
  const written: unknown[] = [];
  const api = LendingApi.make({
    controlClient: {
      write: (command: unknown) => {
        written.push(command);
        return Promise.resolve({ ruling: { verdict: Verdicts.ran('begun', 'x') }, term: 0, sent: 0 });
      },
      bursts: () => Promise.resolve(coreReachable ? { ok: true, view: null, list: [], burst: null } : null),
    },
    lending: { loans: () => [], history: () => [] },
  } as never);
  return { api, written };
};

describe('LendingApi', () => {
  const bad: [string, unknown, string[]][] = [
    ['a request without a body', null, ['']],
    ['a key with a character that is not allowed', { ...spec, key: 'a.b' }, ['/key']],
    ['a burst without prompts', { ...spec, prompts: [] }, ['/prompts']],
    ['an unknown field and a sample count of zero', { ...spec, samples: 0, more: 1 }, ['/more', '/samples']],
  ];
  for (const [name, body, paths] of bad) {
    it(`refuses ${name}, and writes nothing`, async () => {
      const { api, written } = setup();
      const { verdict } = await api.begin(body);
      expect(verdict.code).to.equal('bad');
      expect([...new Set(verdict.faults!.map((f) => f.path))].sort()).to.deep.equal(paths);
      expect(written).to.deep.equal([]);
    });
  }
  it('starts and ends a burst by one command each', async () => {
    const { api, written } = setup();
    expect(await api.begin(spec)).to.include({ key: 'a', total: 3 });
    await api.end('a');
    expect(written).to.deep.equal([
      { do: 'begin', spec },
      { do: 'end', id: 'a' },
    ]);
  });
  it('answers "unready" while the core does not reply', async () => {
    const { api } = setup(false);
    expect((await api.burst('a')).verdict.code).to.equal('unready');
    expect((await api.bursts()).verdict.code).to.equal('unready');
  });
  it('answers "unknown" for a burst or a loan that does not exist', async () => {
    const { api } = setup();
    expect((await api.burst('a')).verdict.code).to.equal('unknown');
    expect(api.loan('m1').verdict.code).to.equal('unknown');
  });
});
