// A small deployment of the project's own programs, with stand-ins for the platform, the model servers, the clients and
// the operator. Everything runs on loopback addresses and on the real clock; nothing outside Node.js is needed.
import { spawn } from 'node:child_process';
import { appendFileSync, createWriteStream, mkdirSync, mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import http from 'node:http';
import net from 'node:net';
import { tmpdir } from 'node:os';
import { dirname, join, resolve } from 'node:path';
import { fileURLToPath } from 'node:url';

export const ROOT = resolve(dirname(fileURLToPath(import.meta.url)), '..', '..');
export const sleep = (ms) => new Promise((done) => setTimeout(done, ms));
export const now = () => performance.now();

/** The platform's own words: headers, paths, settings and messages. They stand in a file of their own. */
export const WIRE = JSON.parse(readFileSync(new URL('wire.txt', import.meta.url), 'utf8'));
const H = WIRE.headers;
/** A copy of a form of the wire, with what stands between at signs filled in. */
const filled = (form, values) => JSON.parse(JSON.stringify(form), (_, v) => (typeof v === 'string' && /^@[A-Z]+@$/.test(v) ? values[v.slice(1, -1)] : v));

/** A fault of the script itself, or a script that takes too long, ends what was started, and means that it could not run. */
const LIMIT = 115_000;
const started = new Set();
const giveUp = (why) => {
  for (const proc of started) proc.kill('SIGKILL');
  console.log(`could not run: ${why instanceof Error ? why.message : why}`);
  process.exit(2);
};
for (const name of ['uncaughtException', 'unhandledRejection']) process.on(name, giveUp);
for (const name of ['SIGTERM', 'SIGINT']) process.on(name, () => giveUp(name));
setTimeout(giveUp, LIMIT, 'it took too long').unref();

/** Writes record.txt: a line for each thing that was sent, answered, run or done, with the time since the start. */
export const Record = {
  make(folder) {
    const file = join(folder, 'record.txt');
    writeFileSync(file, '');
    const from = now();
    return {
      say(line) {
        appendFileSync(file, `${((now() - from) / 1000).toFixed(3).padStart(8)} ${line}\n`);
      },
    };
  },
};

const freePorts = async (ip, count) => {
  for (let tries = 0; tries < 50; tries++) {
    const first = 20000 + Math.floor(Math.random() * 12000);
    const probes = await Promise.all(
      Array.from({ length: count }, (_, i) => {
        const probe = net.createServer();
        return new Promise((done) => {
          probe.once('error', () => done(null));
          probe.listen(first + i, ip, () => done(probe));
        });
      }),
    );
    await Promise.all(probes.map((p) => p && new Promise((done) => p.close(done))));
    if (probes.every(Boolean)) return first;
  }
  throw new Error('no free ports');
};

/** A model server. `hooks.run` may take over how a run is answered. */
export class ModelServer {
  constructor(record, { id, ip, port, service, zone, stage, slots = 64 }, hooks = {}) {
    Object.assign(this, { record, id, ip, port, service, zone, stage, slots, hooks });
    this.state = 'ready';
    this.handles = new Map();
    this.ran = [];
    this.orders = [];
    this.busy = false;
    this.server = http.createServer({ keepAliveTimeout: 30_000 }, (req, res) => void this.take(req, res));
    this.server.on('clientError', (_e, sock) => sock.destroy());
  }
  get address() {
    return `${this.ip}:${this.port}`;
  }
  start() {
    return new Promise((done, fail) => {
      this.server.once('error', fail);
      this.server.listen(this.port, this.ip, done);
    });
  }
  stop() {
    this.server.closeAllConnections();
    return new Promise((done) => this.server.close(done));
  }
  listed() {
    const { id: ID, service: SERVICE, address: ADDRESS, zone: ZONE, state: STATE, stage: STAGE } = this;
    return filled(WIRE.entry, { ID, SERVICE, ADDRESS, ZONE, STATE, STAGE });
  }
  json(res, status, value, headers = {}) {
    const body = JSON.stringify(value);
    res.writeHead(status, { 'Content-Type': 'application/json', 'Content-Length': Buffer.byteLength(body), ...headers });
    res.end(body);
  }
  async take(req, res) {
    const bits = [];
    try {
      for await (const bit of req) bits.push(bit);
    } catch {
      return;
    }
    const body = Buffer.concat(bits);
    const head = (name) => req.headers[H[name].toLowerCase()];
    if (req.url === WIRE.paths.health) return void this.json(res, 200, {}, { [H.instance]: this.id });
    if (req.url === WIRE.paths.report) return void this.json(res, 200, filled(WIRE.reported, { STAGE: this.stage }));
    if (req.url.startsWith(WIRE.paths.handle)) {
      const held = this.handles.delete(decodeURIComponent(req.url.slice(WIRE.paths.handle.length)));
      return void this.json(res, held ? 200 : 404, {});
    }
    if (req.url === WIRE.paths.order) {
      const order = JSON.parse(body.toString());
      this.orders.push(order);
      this.record.say(`server ${this.id} order ${body.toString()}`);
      return void this.json(res, order.stage === this.stage ? 200 : 409, {});
    }
    const id = head('id') ?? '';
    const turn = (status) => this.json(res, status, {}, { [H.id]: id, [H.unrun]: '1' });
    const reading = head('stage') === 'prefill';
    if (head('expect') !== undefined && head('expect') !== this.id) return void turn(421);
    if (reading !== (this.stage === 'prefill')) return void turn(421);
    const [tokens, most] = String(head('tokens') ?? '0,10').split(',').map(Number);
    if (reading) {
      await sleep(tokens / 48);
      const handle = Math.random().toString(16).slice(2, 14).padEnd(12, '0');
      this.handles.set(handle, id);
      this.record.say(`server ${this.id} read ${id}`);
      return void this.json(res, 200, filled(WIRE.prefilled, { HANDLE: handle }), { [H.id]: id });
    }
    const source = head('source');
    if (source !== undefined && !(await ModelServer.fetch(source))) return void turn(503);
    if (source === undefined) await sleep(tokens / 24);
    const call = { id, after: Number(req.headers['last-event-id'] ?? 0), most, req, res, body, server: this };
    this.ran.push({ id, at: now(), headers: req.headers, method: req.method, url: req.url, body });
    this.record.say(`server ${this.id} runs ${id} ${req.method} ${req.url} after ${call.after}`);
    await (this.hooks.run ?? ModelServer.stream)(call);
  }
  static seal(call) {
    return `${call.server.id}.${call.id}`;
  }
  static event(call, n) {
    return `id: ${n}\ndata: word ${n} of ${call.server.id}\n\n`;
  }
  /** The headers of an answer that was run: a stream of events, with the server's seal. */
  static head(call) {
    return { 'Content-Type': 'text/event-stream', [H.id]: call.id, [H.seal]: ModelServer.seal(call) };
  }
  /** The usual answer: a stream of events in chunks. */
  static async stream(call) {
    const { res } = call;
    res.writeHead(200, ModelServer.head(call));
    for (let n = call.after + 1; n <= call.most && !res.destroyed; n++) {
      await sleep(call.server.hooks.gap ?? 10);
      res.write(ModelServer.event(call, n));
    }
    res.end();
    call.server.record.say(`server ${call.server.id} ${res.destroyed ? 'was cut off in' : 'answered'} ${call.id}`);
  }
  static fetch(source) {
    const at = source.lastIndexOf('/');
    return new Promise((done) => {
      const req = http.request(`http://${source.slice(0, at)}${WIRE.paths.handle}${source.slice(at + 1)}`, { method: 'DELETE', agent: false }, (res) => {
        res.resume();
        res.on('end', () => done(res.statusCode === 200));
      });
      req.on('error', () => done(false));
      req.end();
    });
  }
}

/** Reads one answer from a connection, as strictly as the protocol says: complete only if its own framing says so. */
export const readAnswer = (sock, ms, method = 'POST') =>
  new Promise((done) => {
    let held = Buffer.alloc(0);
    const answer = { status: 0, headers: {}, body: Buffer.alloc(0), complete: false, closed: false, reset: false, rest: Buffer.alloc(0), at: null, firstAt: null };
    let over = false;
    const finish = () => {
      if (over) return;
      over = true;
      clearTimeout(late);
      for (const [name, fn] of Object.entries(heard)) sock.off(name, fn);
      answer.at = now();
      done(answer);
    };
    const late = setTimeout(finish, ms);
    let mode = 'head', left = 0;
    const step = () => {
      for (;;) {
        if (mode === 'head') {
          const end = held.indexOf('\r\n\r\n');
          if (end < 0) return;
          const lines = held.subarray(0, end).toString('latin1').split('\r\n');
          held = held.subarray(end + 4);
          answer.firstAt = now();
          answer.status = Number(/^HTTP\/1\.1 (\d{3})/.exec(lines[0])?.[1] ?? 0);
          if (answer.status >= 100 && answer.status < 200) continue;
          for (const l of lines.slice(1)) answer.headers[l.slice(0, l.indexOf(':')).toLowerCase()] = l.slice(l.indexOf(':') + 1).trim();
          if (method === 'HEAD' || answer.status === 204 || answer.status === 304) mode = 'done';
          else if (/chunked/i.test(answer.headers['transfer-encoding'] ?? '')) mode = 'size';
          else if (answer.headers['content-length'] !== undefined) {
            left = Number(answer.headers['content-length']);
            mode = 'sized';
          } else mode = 'open';
        } else if (mode === 'size') {
          const end = held.indexOf('\r\n');
          if (end < 0) return;
          left = parseInt(held.subarray(0, end).toString('latin1'), 16);
          held = held.subarray(end + 2);
          mode = left === 0 ? 'trailer' : 'chunk';
        } else if (mode === 'chunk') {
          if (held.length < left + 2) return;
          answer.body = Buffer.concat([answer.body, held.subarray(0, left)]);
          held = held.subarray(left + 2);
          mode = 'size';
        } else if (mode === 'trailer') {
          const end = held.indexOf('\r\n');
          if (end < 0) return;
          held = held.subarray(end + 2);
          mode = 'done';
        } else if (mode === 'sized') {
          const n = Math.min(left, held.length);
          answer.body = Buffer.concat([answer.body, held.subarray(0, n)]);
          held = held.subarray(n);
          left -= n;
          if (left > 0) return;
          mode = 'done';
        } else if (mode === 'open') {
          answer.body = Buffer.concat([answer.body, held]);
          held = Buffer.alloc(0);
          return;
        } else {
          answer.complete = true;
          answer.rest = held;
          finish();
          return;
        }
      }
    };
    const heard = {
      data(bit) {
        held = Buffer.concat([held, bit]);
        step();
      },
      end() {
        if (mode === 'open') answer.complete = true;
        answer.closed = true;
        finish();
      },
      error() {
        answer.reset = true;
      },
      close() {
        answer.closed = true;
        finish();
      },
    };
    for (const [name, fn] of Object.entries(heard)) sock.on(name, fn);
  });

export const connect = (addr) =>
  new Promise((done) => {
    const at = addr.lastIndexOf(':');
    const sock = net.connect({ host: addr.slice(0, at), port: Number(addr.slice(at + 1)) });
    sock.setNoDelay(true);
    sock.once('connect', () => done(sock));
    sock.once('error', () => done(null));
    sock.on('error', () => undefined);
  });

let counter = 0;
export const newId = () => `${process.pid.toString(16)}${(counter++).toString(16).padStart(6, '0')}${Math.random().toString(16).slice(2, 8)}`;
/** The part of a prompt that is a request's own, in hex. */
const own = (id) => Buffer.from(id).toString('hex').slice(-16);
export const requestText = ({ id, host = 'app.example', path = '/a/x', method = 'POST', tokens = 600, most = 12, deadline = 8000, body = 'x', topic = '5c1e07a2', more = {} }) => {
  const shared = Math.floor(tokens / 2);
  const headers = {
    Host: host,
    [H.id]: id,
    [H.model]: 'm',
    [H.tokens]: `${tokens},${most}`,
    [H.parts]: `${topic}:${shared},${own(id)}:${tokens - shared}`,
    [H.deadline]: String(deadline),
    ...more,
    'Content-Length': String(Buffer.byteLength(body)),
  };
  return `${method} ${path} HTTP/1.1\r\n${Object.entries(headers).map(([k, v]) => `${k}: ${v}\r\n`).join('')}\r\n${body}`;
};
/** One try of a client on a connection of its own, or on one that it keeps. */
export const send = async (addr, options, kept = null) => {
  const id = options.id ?? newId();
  const sock = kept ?? (await connect(addr));
  if (!sock) return { id, status: 0, complete: false, closed: true, refusedConnection: true, headers: {}, body: Buffer.alloc(0) };
  const sentAt = now();
  sock.write(requestText({ ...options, id }));
  const answer = await readAnswer(sock, options.patience ?? options.deadline ?? 8000, options.method ?? 'POST');
  if (!kept) sock.destroy();
  return { id, sentAt, sock, ...answer };
};

const httpCall = (addr, method, path, headers, body, ms) =>
  new Promise((done) => {
    const req = http.request(`http://${addr}${path}`, { method, headers, agent: false, timeout: ms }, (res) => {
      const bits = [];
      res.on('data', (b) => bits.push(b));
      res.on('end', () => done({ status: res.statusCode, body: Buffer.concat(bits).toString() }));
      res.on('error', () => done({ status: 0, body: '' }));
    });
    req.on('timeout', () => req.destroy());
    req.on('error', () => done({ status: 0, body: '' }));
    if (body !== undefined) req.write(body);
    req.end();
  });

/** A configuration as it is sent: one route to one service, whose requests may be held for `timeout` ms. */
export const configuration = (revision, timeout = 8000) => {
  const made = structuredClone(WIRE.configuration);
  made.revision = revision;
  for (const list of Object.values(made)) if (Array.isArray(list)) for (const one of list) if (WIRE.timeout in one) one[WIRE.timeout] = timeout;
  return JSON.stringify(made);
};

export class Fleet {
  static async make(folder, { cores = 3, routers = 3, servers = [], hooks = {}, coreZones = [], tolerance = {} } = {}) {
    const fleet = new Fleet();
    fleet.record = Record.make(folder);
    fleet.dir = mkdtempSync(join(tmpdir(), 'review-'));
    const block = `127.${60 + Math.floor(Math.random() * 120)}.${1 + Math.floor(Math.random() * 250)}`;
    fleet.base = await freePorts(`${block}.1`, 20 + servers.length + cores + routers);
    const [front, ready, control] = [16, 17, 18].map((n) => fleet.base + n);
    const list = fleet.base + 20 + servers.length;
    fleet.processes = new Map();
    fleet.restart = true;
    fleet.exits = [];
    fleet.servers = servers.map((s, i) => new ModelServer(fleet.record, { service: 'llm', zone: 'north', id: `i-${i + 1}`, ...s, ip: `${block}.1`, port: fleet.base + 20 + i }, s.hooks ?? hooks));
    fleet.nodes = [];
    for (let i = 0; i < cores + routers; i++) {
      const core = i < cores;
      const ip = `${block}.${10 + i}`;
      const zones = ['north', 'centre', 'south'];
      const zone = (core && coreZones[i]) || zones[(core ? i : i - cores) % 3];
      const same = fleet.nodes.filter((n) => n.zone === zone && n.role === (core ? 'control' : 'router')).length;
      const name = `${core ? 'core' : 'edge'}-${zone}-${same + 1}`;
      fleet.nodes.push({ name, ip, role: core ? 'control' : 'router', zone, front: `${ip}:${front}`, ready: `${ip}:${ready}`, control: `${ip}:${control}`, file: join(fleet.dir, `${name}.toml`), data: join(fleet.dir, name), list: `${block}.1:${list + i}` });
    }
    fleet.cores = fleet.nodes.filter((n) => n.role === 'control');
    fleet.routers = fleet.nodes.filter((n) => n.role === 'router');
    fleet.seeds = fleet.cores.slice(0, 3).map((n) => n.control);
    fleet.tolerance = { machines: 1, zones: 0, regions: 0, ...tolerance };
    /** Bounds of the deployment in ms, by short names of ours. */
    fleet.bounds = Object.fromEntries(Object.entries(WIRE.bounds).map(([k, name]) => [k, WIRE.timing[name] * (name.endsWith('_s') ? 1000 : 1)]));
    for (const n of fleet.nodes) fleet.writeSettings(n, true);
    // The platform's list. Every machine asks it at an address of its own, so that the platform knows who read it last.
    fleet.readers = [];
    fleet.listServers = await Promise.all(
      fleet.nodes.map(async (n) => {
        const host = http.createServer((_req, res) => {
          fleet.readers.push({ name: n.name, at: now() });
          const [servers, ...rest] = Object.entries(WIRE.list);
          const shown = fleet.servers.filter((s) => !s.hidden).map((s) => s.listed());
          const body = JSON.stringify(Object.fromEntries([[servers[0], shown], ...rest]));
          res.writeHead(200, { 'Content-Type': 'application/json', 'Content-Length': Buffer.byteLength(body) });
          res.end(body);
        });
        const at = n.list.lastIndexOf(':');
        await new Promise((done) => host.listen(Number(n.list.slice(at + 1)), n.list.slice(0, at), done));
        return host;
      }),
    );
    await Promise.all(fleet.servers.map((s) => s.start()));
    return fleet;
  }
  writeSettings(n, bootstrap, note = '') {
    const q = JSON.stringify;
    const core = n.role === 'control';
    const lines = (map) => Object.entries(map).map(([k, v]) => `${k} = ${v}`).join('\n');
    const fill = (text, values) => text.replace(/@([A-Z]+)@/g, (_, k) => values[k]);
    const values = {
      ...{ NAME: q(n.name), ROLE: q(n.role), CLASS: q(core ? 'core' : 'edge'), SERVES: q(core ? ['control'] : ['edge', 'control']) },
      ...{ IP: q(n.ip), ZONE: q(n.zone), FIRST: this.base, LAST: this.base + 15, SEEDS: q(this.seeds), FIRSTSTART: bootstrap },
      ...{ COUNTED: core, CONTROL: q(n.control), DISK: core ? 128 : 0, LIST: q(n.list), TIMING: lines(WIRE.timing) },
      DATA: core ? fill(WIRE.data, { DATADIR: q(n.data) }) : '',
      FRONT: core ? '' : fill(WIRE.front, { FRONTADDR: q(n.front), READY: q(n.ready) }),
      TOLERANCE: lines(Object.fromEntries(Object.entries(this.tolerance).map(([k, v]) => [WIRE.tolerance[k], v]))),
    };
    writeFileSync(n.file, [`# ${note}`, ...WIRE.settings.map((line) => fill(line, values))].join('\n'));
  }
  node(name) {
    return this.nodes.find((n) => n.name === name);
  }
  /** Starts the process of a machine with the run line of the deploy file. */
  rise(n) {
    mkdirSync(n.data, { recursive: true });
    const deploy = readFileSync(join(ROOT, 'deploy', 'system.toml'), 'utf8');
    const line = new RegExp(`\\[roles\\.${n.role}\\][^[]*?run = "([^"]+)"`).exec(deploy)[1].split(' ');
    const env = { [WIRE.environment]: n.file };
    for (const k of ['PATH', 'HOME', 'LANG']) if (process.env[k] !== undefined) env[k] = process.env[k];
    const proc = spawn(line[0], line.slice(1), { cwd: ROOT, env, stdio: ['ignore', 'pipe', 'pipe'] });
    const log = createWriteStream(join(this.dir, `${n.name}.log`), { flags: 'a' });
    started.add(proc);
    proc.once('exit', () => started.delete(proc));
    proc.stdout.pipe(log);
    proc.stderr.pipe(log);
    const held = { proc, startedAt: now(), told: false };
    held.gone = new Promise((done) => proc.once('exit', (code, signal) => {
      this.record.say(`process ${n.name} (${proc.pid}) ended with ${code ?? signal}`);
      this.exits.push({ name: n.name, code, signal, told: held.told, at: now(), lived: now() - held.startedAt });
      if (this.processes.get(n.name) === held) this.processes.delete(n.name);
      done();
    }));
    this.record.say(`process ${n.name} (${proc.pid}) started`);
    this.processes.set(n.name, held);
    return held;
  }
  signal(n, sig) {
    const held = this.processes.get(n.name);
    if (!held) return false;
    if (sig === 'SIGTERM' || sig === 'SIGKILL') held.told = true;
    this.record.say(`signal ${sig} to ${n.name}`);
    return held.proc.kill(sig);
  }
  async start() {
    for (const n of this.nodes) this.rise(n);
  }
  async replace(base, text, { to = this.cores, ms = 1000, until = 20_000 } = {}) {
    const end = now() + until;
    for (let i = 0; now() < end; i++) {
      const n = to[i % to.length];
      const got = await httpCall(n.control, 'POST', WIRE.paths.replace, { 'Content-Type': 'application/json', 'Content-Length': Buffer.byteLength(text), [H.base]: String(base) }, text, ms);
      this.record.say(`operator sent ${text.slice(0, 16)}... on ${base} to ${n.name}: ${got.status || 'no answer'}`);
      if ([200, 400, 409, 412, 413, 422].includes(got.status)) return got;
      await sleep(200);
    }
    return { status: 0 };
  }
  async read({ to = this.cores, until = 5000 } = {}) {
    const end = now() + until;
    for (let i = 0; now() < end; i++) {
      const n = to[i % to.length];
      const got = await httpCall(n.control, 'GET', WIRE.paths.read, {}, undefined, 1000);
      if (got.status === 200) return got;
      await sleep(100);
    }
    return { status: 0, body: '' };
  }
  async readiness(n) {
    return (await httpCall(n.ready, 'GET', WIRE.paths.ready, {}, undefined, 1000)).status === 200;
  }
  async untilReady(nodes = this.routers, until = 20_000) {
    const end = now() + until;
    for (;;) {
      const all = await Promise.all(nodes.map((n) => this.readiness(n)));
      if (all.every(Boolean)) return true;
      if (now() > end) return false;
      await sleep(100);
    }
  }
  async stop() {
    for (const [, held] of this.processes) {
      held.told = true;
      held.proc.kill('SIGCONT');
      held.proc.kill('SIGKILL');
    }
    await Promise.all([...this.processes.values()].map((h) => h.gone));
    await Promise.all(this.servers.map((s) => s.stop()));
    for (const host of this.listServers) host.closeAllConnections();
    await Promise.all(this.listServers.map((host) => new Promise((done) => host.close(done))));
    if (process.env.KEEP) this.record.say(`logs in ${this.dir}`);
    else rmSync(this.dir, { recursive: true, force: true });
  }
}
