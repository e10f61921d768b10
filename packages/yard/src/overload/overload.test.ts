import { SampleCall } from '@pumicebarrow/platform';
import { expect } from 'chai';
import { mkdtemp, rm } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { request as call } from 'undici';
import { RoutedPlant } from '../routed/routedplant.js';
import { CrowdPayloads } from './crowdpayloads.js';
import { RawCrowd } from './rawcrowd.js';
import { UsageMonitor } from './usagemonitor.js';

/*
 * Clients that were not ours ended a process: it ran out of memory. Each case is one crowd at one listener of one role,
 * against the smallest machine that a settings file tells of. Judged are the process's life, its memory together with
 * what the kernel holds for it, its descriptors, and whether an ordinary caller is answered beside the crowd and after.
 */
const MB = 1_000_000;
const MACHINE = { memoryMb: 160, maxDescriptors: 512, servesMetrics: true };
const PATIENCE_MS = 30_000;
const CASE_LIMIT_MS = 180_000;
const { mib } = CrowdPayloads;
/** Limits of clients' bodies that hold without another configuration, and of the operator's. */
const CLIENT_BODY_BYTES = 4 * mib;

type Plant = Awaited<ReturnType<typeof RoutedPlant.make>>;
type Daemon = Plant['routers'][number];
type Case = {
  name: string;
  role: 'router' | 'control';
  addr: (plant: Plant, daemon: Daemon) => string;
  connections: number;
  payload: () => Iterable<Uint8Array>;
  reads?: boolean;
};

const front = (_: Plant, daemon: Daemon): string => daemon.front;
const readiness = (plant: Plant, daemon: Daemon): string => plant.readiness(daemon);
const metrics = (plant: Plant, daemon: Daemon): string => plant.metrics(daemon);
const internal = (_: Plant, daemon: Daemon): string => daemon.addr;
const router = (name: string, addr: Case['addr'], connections: number, payload: Case['payload']): Case => ({
  ...{ name: `router, ${name}`, role: 'router', addr, connections, payload },
});
const control = (name: string, addr: Case['addr'], connections: number, payload: Case['payload']): Case => ({
  ...{ name: `control, ${name}`, role: 'control', addr, connections, payload },
});
const nothing = (): Iterable<Uint8Array> => [];
const { path, ready, read, replace } = SampleCall;

const CASES: Case[] = [
  router('front: chunked bodies in large chunks, without their end', front, 48, () =>
    CrowdPayloads.largeChunks(path, CLIENT_BODY_BYTES - mib / 16),
  ),
  router('front: chunked bodies in chunks of one byte, without their end', front, 12, () =>
    CrowdPayloads.tinyChunks(path, mib / 8),
  ),
  router('front: bodies of a told length that lack a byte', front, 48, () =>
    CrowdPayloads.announcedBody(path, CLIENT_BODY_BYTES, CLIENT_BODY_BYTES - mib / 16),
  ),
  router('front: bodies far over the limit, announced', front, 16, () =>
    CrowdPayloads.announcedBody(path, 1024 * mib, 32 * mib),
  ),
  router('front: bodies far over the limit, just sent', front, 16, () => CrowdPayloads.largeChunks(path, 32 * mib)),
  router('front: heads without an end', front, 256, () => CrowdPayloads.endlessHead(path, 240 * 1024)),
  router('front: requests sent ahead, answers unread', front, 64, () =>
    CrowdPayloads.requestsAhead('POST', '/nowhere/', 20_000),
  ),
  router('front: large answers unread', front, 48, () => CrowdPayloads.oneRequest(path, 40)),
  router('front: connections that rest', front, 700, nothing),
  router('readiness: requests sent ahead, answers unread', readiness, 64, () =>
    CrowdPayloads.requestsAhead('GET', ready, 20_000),
  ),
  router('readiness: chunked bodies without their end', readiness, 48, () => CrowdPayloads.largeChunks(ready, 4 * mib)),
  router('readiness: heads without an end', readiness, 256, () => CrowdPayloads.endlessHead(ready, 240 * 1024)),
  router('readiness: connections that rest', readiness, 700, nothing),
  router('metrics: requests sent ahead, answers unread', metrics, 64, () =>
    CrowdPayloads.requestsAhead('GET', SampleCall.metrics, 2000),
  ),
  router('metrics: connections that rest', metrics, 700, nothing),
  router('internal: lines without their end', internal, 48, () => CrowdPayloads.endlessLine(7 * mib)),
  router('internal: questions sent ahead, answers unread', internal, 64, () => CrowdPayloads.statusQueries(10_000)),
  router('internal: lines of JSON that take more memory than their text', internal, 4, () =>
    CrowdPayloads.nestedLine(7 * mib),
  ),
  router('internal: connections that rest', internal, 700, nothing),
  control('operator: chunked bodies in large chunks, without their end', front, 24, () =>
    CrowdPayloads.largeChunks(replace, 15 * mib),
  ),
  control('operator: chunked bodies in chunks of one byte, without their end', front, 12, () =>
    CrowdPayloads.tinyChunks(replace, mib / 8),
  ),
  control('operator: bodies far over the limit, just sent', front, 16, () =>
    CrowdPayloads.largeChunks(replace, 32 * mib),
  ),
  control('operator: JSON that takes more memory than its text', front, 4, () =>
    CrowdPayloads.nestedJson(replace, 12 * mib),
  ),
  control('operator: reads sent ahead, answers unread', front, 64, () =>
    CrowdPayloads.requestsAhead('GET', read, 5000),
  ),
  control('operator: connections that rest', front, 700, nothing),
  control('operator: bodies of a told length that lack a byte', front, 24, () =>
    CrowdPayloads.announcedBody(replace, 15 * mib, 15 * mib - mib / 16),
  ),
  control('metrics: connections that rest', metrics, 700, nothing),
  control('metrics: requests sent ahead, answers unread', metrics, 64, () =>
    CrowdPayloads.requestsAhead('GET', SampleCall.metrics, 2000),
  ),
  control('internal: lines without their end', internal, 48, () => CrowdPayloads.endlessLine(7 * mib)),
  control('internal: questions sent ahead, answers unread', internal, 64, () => CrowdPayloads.statusQueries(10_000)),
  control('internal: lines of JSON that take more memory than their text', internal, 4, () =>
    CrowdPayloads.nestedLine(7 * mib),
  ),
  control('internal: connections that rest', internal, 700, nothing),
];

/** Repeats an ordinary call until it is answered with 200, or patience ends; gives the last status. */
const statusOf = async (step: () => Promise<number>): Promise<number> => {
  const end = Date.now() + PATIENCE_MS;
  for (;;) {
    const status = await step().catch(() => 0);
    if (status === 200 || Date.now() > end) return status;
  }
};
let serial = 0;
const getStatus = async (url: string): Promise<number> => {
  const got = await call(url, { headersTimeout: 2000, bodyTimeout: 2000, reset: true });
  await got.body.dump();
  return got.statusCode;
};
/** One request of an ordinary client, on a connection of its own. */
const servedStatus = async (daemon: Daemon, body: string | Buffer): Promise<number> => {
  const headers = SampleCall.headers(`ordinary-${++serial}`, 2000, 3);
  const url = `http://${daemon.front}${path}`;
  const got = await call(url, { method: 'POST', headers, body, reset: true, headersTimeout: 20_000 });
  const text = await got.body.text();
  return text.includes('id: 3\n') ? got.statusCode : 0;
};
const ordinaryCalls = async (plant: Plant, daemon: Daemon): Promise<Record<string, number>> =>
  daemon.role === 'router'
    ? {
        request: await statusOf(() => servedStatus(daemon, 'x')),
        ready: await statusOf(() => getStatus(`http://${plant.readiness(daemon)}${ready}`)),
      }
    : { read: await statusOf(() => getStatus(`http://${daemon.front}${read}`)) };
const allAnswered = (answers: Record<string, number>): Record<string, number> =>
  Object.fromEntries(Object.keys(answers).map((name) => [name, 200]));

describe('clients that do not behave, at a process on a small machine:', () => {
  before(() => RoutedPlant.build());
  let plant: Plant;
  let dir = '';
  beforeEach(async () => {
    dir = await mkdtemp(join(tmpdir(), 'overload-'));
    const size = { replicas: 3, routers: 1, prefill: 1, decode: 1 };
    plant = await RoutedPlant.make({ ...size, machine: MACHINE, padding: mib / 2 }, dir);
    await plant.start();
    const body = SampleCall.configuration(1, RoutedPlant.service, RoutedPlant.slots);
    const url = `http://${plant.replicas[0]!.front}${replace}`;
    const accepted = await statusOf(async () => {
      const got = await call(url, { method: 'POST', headers: { [SampleCall.base]: '0' }, body });
      await got.body.dump();
      return got.statusCode;
    });
    expect(accepted).to.equal(200);
  });
  afterEach(async () => {
    await plant.stop();
    await rm(dir, { recursive: true, force: true });
  });

  const expectWithinMachine = (
    daemon: Daemon,
    pid: number | null,
    peak: ReturnType<ReturnType<typeof UsageMonitor.start>['stop']>,
  ): void => {
    expect(plant.ended).to.deep.equal([]);
    expect(plant.pid(daemon.id)).to.equal(pid);
    expect(peak.memoryBytes / MB, 'MB of memory').to.be.at.most(MACHINE.memoryMb);
    expect(peak.descriptors, 'descriptors').to.be.at.most(MACHINE.maxDescriptors);
  };
  for (const { name, role, addr, connections, payload, reads } of CASES)
    it(name, async () => {
      const daemon = (role === 'router' ? plant.routers : plant.replicas)[0]!;
      const ordinary = await ordinaryCalls(plant, daemon);
      expect(ordinary).to.deep.equal(allAnswered(ordinary));
      const pid = plant.pid(daemon.id);
      const monitor = UsageMonitor.start(pid!, daemon.addr.replace(/:\d+$/, ''));
      const crowd = await RawCrowd.start(addr(plant, daemon), { connections, payload, reads: reads ?? false });
      const beside = await ordinaryCalls(plant, daemon);
      await monitor.atRest();
      crowd.close();
      const after = await ordinaryCalls(plant, daemon);
      expectWithinMachine(daemon, pid, monitor.stop());
      expect({ beside, after }).to.deep.equal({ beside: allAnswered(beside), after: allAnswered(after) });
    }).timeout(CASE_LIMIT_MS);
  it('router, front: one body inside the limits in chunks of one byte is answered', async () => {
    const daemon = plant.routers[0]!;
    await ordinaryCalls(plant, daemon);
    const pid = plant.pid(daemon.id);
    const monitor = UsageMonitor.start(pid!, daemon.addr.replace(/:\d+$/, ''));
    const answer = await RawCrowd.answerTo(daemon.front, CrowdPayloads.tinyBody(path, 2 * mib));
    expectWithinMachine(daemon, pid, monitor.stop());
    expect(answer.slice(0, 15)).to.equal('HTTP/1.1 200 OK');
    expect(answer.endsWith('0\r\n\r\n')).to.equal(true);
  }).timeout(CASE_LIMIT_MS);
  const leaving: [Case['role'], string, number][] = [
    ['router', path, CLIENT_BODY_BYTES - mib / 16],
    ['control', replace, 15 * mib],
  ];
  for (const [role, target, bytes] of leaving)
    it(`${role}, front: bodies without their end, sent before it leaves and while it does`, async () => {
      const daemon = (role === 'router' ? plant.routers : plant.replicas)[0]!;
      await ordinaryCalls(plant, daemon);
      const monitor = UsageMonitor.start(plant.pid(daemon.id)!, daemon.addr.replace(/:\d+$/, ''));
      const options = { connections: 24, payload: () => CrowdPayloads.largeChunks(target, bytes), reads: false };
      const before = await RawCrowd.start(daemon.front, options);
      const left = plant.fall(daemon.id, 'SIGTERM');
      const during = await RawCrowd.start(daemon.front, options);
      const code = await left;
      const peak = monitor.stop();
      before.close();
      during.close();
      expect(code).to.equal(0);
      expect(peak.memoryBytes / MB, 'MB of memory').to.be.at.most(MACHINE.memoryMb);
      expect(peak.descriptors, 'descriptors').to.be.at.most(MACHINE.maxDescriptors);
    }).timeout(CASE_LIMIT_MS);
});
