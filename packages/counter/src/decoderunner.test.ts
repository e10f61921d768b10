import { Err, type NamedRoute, type World } from '@pumicebarrow/forms';
import { expect } from 'chai';
import { interpret } from 'robot3';
import { LoadTracker } from './loadtracker.js';
import { PrefillRunner } from './prefillrunner.js';
import type { RequestRunnerDependencies } from './requestrunnerdependencies.js';
import { RetryPolicy } from './retrypolicy.js';
import type { InFlightRequest } from './inflightrequest.js';
import { RequestStateMachine } from './requeststatemachine.js';
import { DecodeRunner } from './decoderunner.js';

const route = {
  name: 'r',
  weight: 1,
  urgency: 1,
  limit: 9,
  waitlist: 9,
  deadline: 900,
  pieces: 2,
  bytes: 99,
} as NamedRoute;
const servers = ['m1', 'm2', 'm3'].map((id) => ({ id, born: 'x', addr: id, site: 's', mark: 'serving' as const }));

/** Dependencies in which each server has capacity for one request and never replies. */
const setUp = () => {
  const loads = LoadTracker.make();
  const calledAddresses: string[] = [];
  const firstIdle = () => servers.filter((s) => loads.weightAt(s.id) === 0)[0] ?? null;
  const jobs: { urgency?: number }[] = [];
  const recordCall = (addr: string, job: { urgency?: number }) => {
    calledAddresses.push(addr);
    jobs.push(job);
    return new Promise<never>(() => undefined);
  };
  const deps = {
    world: { clock: { mono: () => 0, after: () => () => undefined }, recordEvent: () => undefined } as unknown as World,
    choice: { decode: firstIdle, prefill: firstIdle, usable: () => servers, hasRoom: () => true },
    ...{
      loads,
      town: { findServing: () => ({}), sendDeadline: () => 900 },
      demand: { read: 0, write: 0 },
      grantTurns: () => undefined,
    },
    decodeQueue: { enter: () => ({ turn: Promise.resolve(true), leave: () => undefined }) },
    hails: { bound: () => ({ born: 'x', by: 900 }) },
    back: { decode: recordCall, prefill: recordCall },
    ...{ retryBudget: { tryTake: () => false }, sighted: () => undefined, version: () => 1, sure: () => true },
  } as unknown as RequestRunnerDependencies;
  const inFlightRequest = (i: number): InFlightRequest => ({
    ...{
      request: { key: `k${i}`, attempt: 1, prefix: '', part: '' },
      route,
      deadline: 900,
      prefix: '',
      excludedServers: new Set<string>(),
    },
    writer: {
      writePiece: () => undefined,
      end: () => undefined,
      abort: () => undefined,
      refuse: () => undefined,
      isClientGone: () => false,
    },
    releaseReservation: () => undefined,
    stateMachine: interpret(RequestStateMachine, () => undefined),
    handle: { id: 'h', key: `k${i}`, attempt: 1, server: 'm1', born: 'x', addr: 'm1', digest: '' },
    prefillServer: servers[0]!,
    failure: Err('x') as never,
  });
  return { t: deps, jobs, tries: RetryPolicy.make(deps), trip: inFlightRequest, met: calledAddresses };
};

describe('Requests that get their turn at the same instant', () => {
  for (const [name, make] of [
    ['read', PrefillRunner.make],
    ['written', DecodeRunner.make],
  ] as const) {
    it(`are ${name} each at a server with free capacity, not all at the one that looked idlest`, async () => {
      const setup = setUp(),
        run = make(setup.t, setup.tries);
      for (let i = 0; i < 3; i++) void run(setup.trip(i));
      await new Promise((done) => void setTimeout(done, 0));
      expect(setup.met).to.deep.equal(['m1', 'm2', 'm3']);
    });
    it(`are ${name} with their urgency at the server, live ones with none`, async () => {
      const setup = setUp();
      for (const deps of [setup.t, { ...setup.t, urgency: 0 }])
        void make(deps, setup.tries)(setup.trip(setup.jobs.length));
      await new Promise((done) => void setTimeout(done, 0));
      expect(setup.jobs.map((j) => j.urgency)).to.deep.equal([undefined, 0]);
    });
  }
});
