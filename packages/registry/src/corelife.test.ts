import { expect } from 'chai';
import { interpret } from 'robot3';
import { CoreLifecycle } from './corelife.js';

const cases: [string[], string][] = [
  [[], 'blank'],
  [['placed'], 'member'],
  [['found'], 'newcomer'],
  [['found', 'placed'], 'member'],
  [['placed', 'found'], 'newcomer'],
  [['placed', 'ill'], 'sick'],
  [['placed', 'ill', 'placed'], 'sick'],
  [['placed', 'ill', 'found'], 'sick'],
  [['ill', 'well'], 'newcomer'],
];
describe('CoreLife', () => {
  for (const [events, end] of cases) {
    it(`${events.join(', ') || 'nothing'} leads to ${end}`, () => {
      const s = interpret(CoreLifecycle, () => undefined);
      for (const e of events) s.send(e as never);
      expect(s.machine.current).to.equal(end);
    });
  }
});
