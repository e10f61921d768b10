import { expect } from 'chai';
import { interpret } from 'robot3';
import { CoreLifecycle } from './corelifecycle.js';

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
describe('CoreLifecycle', () => {
  for (const [events, expected] of cases) {
    it(`${events.join(', ') || 'nothing'} leads to ${expected}`, () => {
      const service = interpret(CoreLifecycle, () => undefined);
      for (const event of events) service.send(event as never);
      expect(service.machine.current).to.equal(expected);
    });
  }
});
