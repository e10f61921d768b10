import { expect } from 'chai';
import { interpret, type Machine } from 'robot3';
import { DaemonStateMachine } from './daemonstatemachine.js';
import { RequestStateMachine } from './requeststatemachine.js';

const stateAfter = (machine: Machine, events: string[]): string => {
  const service = interpret(machine, () => undefined);
  for (const event of events) service.send(event as never);
  return String(service.machine.current);
};
const requests: [string, string][] = [
  ['turn marked read send piece piece whole', 'ended'],
  ['turn marked read send whole', 'ended'],
  ['give', 'refused'],
  ['turn give', 'refused'],
  ['turn marked give', 'refused'],
  ['turn marked again read give', 'refused'],
  ['turn marked read send give', 'unsure'],
  ['turn marked read send unrun give', 'refused'],
  ['turn marked read send lapse give', 'refused'],
  ['turn marked read send piece give', 'cut'],
  ['turn marked read send piece unrun', 'streamed'],
  ['turn marked read send piece lapse', 'streamed'],
  ['turn send', 'marking'],
  ['turn marked read send piece whole give', 'ended'],
];
const lives: [string, string][] = [
  ['begin', 'asking'],
  ['begin sure', 'serving'],
  ['begin sure woke', 'asking'],
  ['begin sure woke sure', 'serving'],
  ['begin sure leave', 'draining'],
  ['begin sure leave woke', 'draining'],
  ['begin sure leave empty', 'stopped'],
  ['begin leave sure', 'draining'],
  ['sure', 'starting'],
];

describe('RequestLife', () => {
  for (const [events, state] of requests)
    it(`${events} leads to ${state}`, () => expect(stateAfter(RequestStateMachine, events.split(' '))).to.equal(state));
});
describe('DaemonLife', () => {
  for (const [events, state] of lives)
    it(`${events} leads to ${state}`, () => expect(stateAfter(DaemonStateMachine, events.split(' '))).to.equal(state));
});
