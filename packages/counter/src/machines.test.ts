import { expect } from 'chai';
import { interpret, type Machine } from 'robot3';
import { DaemonLife } from './daemonlife.js';
import { RequestLife } from './requestlife.js';

const run = (m: Machine, events: string[]): string => {
  const s = interpret(m, () => undefined);
  for (const e of events) s.send(e as never);
  return String(s.machine.current);
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
  for (const [e, end] of requests)
    it(`${e} leads to ${end}`, () => expect(run(RequestLife, e.split(' '))).to.equal(end));
});
describe('DaemonLife', () => {
  for (const [e, end] of lives) it(`${e} leads to ${end}`, () => expect(run(DaemonLife, e.split(' '))).to.equal(end));
});
