// A small deployment as separate processes on loopback addresses, started with the commands of deploy/system.toml,
// and the stand-ins round it. Node's own modules only.
import { spawn } from 'node:child_process';
import { appendFileSync, mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import http from 'node:http';
import net from 'node:net';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { fileURLToPath } from 'node:url';

/** A case that isn't over by then could not run. */
const LIMIT_MS = 115_000;
export const ROOT = fileURLToPath(new URL('../../', import.meta.url));
export const sleep = (ms) => new Promise((done) => setTimeout(done, ms));
export const until = async (fits, ms, step = 25) => {
  for (const end = Date.now() + ms; Date.now() < end; await sleep(step)) if (await fits()) return true;
  return false;
};

/** What a case saw: lines with the ms since its start, in record.txt of the case's folder. */
export const recorder = (folder) => {
  const file = join(folder, 'record.txt');
  writeFileSync(file, '');
  const from = performance.now();
  return (text) => appendFileSync(file, `${(performance.now() - from).toFixed(0).padStart(7)} ms  ${text}\n`);
};

/** The command of a role, from the deploy file. */
const command = (role) => {
  const text = readFileSync(join(ROOT, 'deploy', 'system.toml'), 'utf8');
  const section = text.slice(text.indexOf(`[roles.${role}]`));
  return /^run = "(.*)"$/m.exec(section)[1].split(' ');
};

/** A copy of a form of the wire with its `@NAME@` replaced. */
const fill = (form, values) =>
  JSON.parse(JSON.stringify(form), (_, v) => (typeof v === 'string' && v.slice(1, -1) in values && v[0] === '@' ? values[v.slice(1, -1)] : v));

/** `many` ports in a row that are free on the addresses of the fleet. */
const freePorts = async (ips, many) => {
  for (let tries = 0; tries < 200; tries++) {
    const first = 20_000 + Math.floor(Math.random() * 9_000);
    const held = [];
    let ok = true;
    for (const ip of ips)
      for (let i = 0; i < many && ok; i++) {
        const server = net.createServer();
        ok = await new Promise((done) => {
          server.once('error', () => done(false));
          server.listen(first + i, ip, () => done(true));
        });
        if (ok) held.push(server);
      }
    await Promise.all(held.map((s) => new Promise((done) => s.close(done))));
    if (ok) return first;
  }
  throw new Error('no free ports');
};

/** The platform's words, as its pages have them: data, since sources outside of the adapter hold none of them. */
const wire = JSON.parse(readFileSync(new URL('wire.txt', import.meta.url), 'utf8'));
const H = wire.headers;
const lower = (name) => H[name].toLowerCase();

/**
 * A server of a service. `work(req, res, seen)` answers what is run; what is turned away was not run. `stage` is null
 * for a plain application server.
 */
export const server = async (ip, port, { id, service, zone, stage, slots = 64, state = 'ready', work, log }) => {
  const self = { id, service, addr: `${ip}:${port}`, zone, stage, slots, state, ran: [], sockets: new Set() };
  const handles = new Set();
  let serial = 0;
  const say = (res, status, json, more = {}) => {
    const body = JSON.stringify(json);
    res.writeHead(status, { 'Content-Type': 'application/json', 'Content-Length': Buffer.byteLength(body), ...more });
    res.end(body);
  };
  const host = http.createServer((req, res) => {
    const bits = [];
    req.on('error', () => undefined);
    res.on('error', () => undefined);
    req.on('data', (b) => bits.push(b));
    req.on('end', () => {
      const rid = req.headers[lower('id')];
      if (req.url === wire.paths.health) return say(res, 200, {}, { [H.instance]: id });
      if (req.url === wire.paths.order) {
        log(`order at ${id}: ${Buffer.concat(bits)}`);
        return say(res, 200, {});
      }
      if (req.method === 'DELETE' && req.url.startsWith(wire.paths.handle))
        return say(res, handles.delete(req.url.slice(wire.paths.handle.length)) ? 200 : 404, {});
      if (rid === undefined) return say(res, 400, {}, { [H.unrun]: '1' });
      const meant = req.headers[lower('expect')];
      const wants = req.headers[lower('stage')] === 'prefill' ? 'prefill' : stage === null ? null : 'decode';
      if ((meant !== undefined && meant !== id) || wants !== stage)
        return say(res, 421, {}, { [H.id]: rid, [H.unrun]: '1' });
      if (wants === 'prefill') {
        const handle = `${id}h${++serial}`;
        handles.add(handle);
        return say(res, 200, fill(wire.prefilled, { HANDLE: handle }), { [H.id]: rid });
      }
      self.ran.push(rid);
      work(req, res, { id: rid, body: Buffer.concat(bits), server: self, seal: `${id}.${rid}` });
    });
  });
  host.on('connection', (s) => {
    self.sockets.add(s);
    s.on('error', () => undefined);
    s.on('close', () => self.sockets.delete(s));
  });
  await new Promise((done, fail) => {
    host.once('error', fail);
    host.listen(port, ip, done);
  });
  self.close = () =>
    new Promise((done) => {
      host.close(done);
      host.closeAllConnections();
    });
  return self;
};

export const Headers = H;

/**
 * Control replicas, routers, servers and the platform's list. Every daemon has an address of its own; those named in
 * `later` are not started yet.
 */
export const fleet = async ({ log, controls = 3, routers = 1, servers = [], later = [] }) => {
  const dir = mkdtempSync(join(tmpdir(), 'review-'));
  const net2 = 1 + Math.floor(Math.random() * 250);
  const ips = Array.from({ length: controls + routers }, (_, i) => `127.77.${net2}.${10 + i}`);
  const base = await freePorts([...ips, '127.0.0.1'], 10 + servers.length);
  const port = { internal: base, last: base + 3, front: base + 4, ready: base + 5, control: base + 6, list: base + 7 };
  const zones = ['north', 'south'];
  const hosts = [];
  for (const [i, s] of servers.entries())
    hosts.push(await server('127.0.0.1', base + 10 + i, { zone: zones[i % 2], log, ...s }));
  const listHost = http.createServer((_req, res) => {
    const entries = hosts.map((h) =>
      fill(wire.entry, { ID: h.id, SERVICE: h.service, ADDRESS: h.addr, ZONE: h.zone, STAGE: h.stage }),
    );
    const body = JSON.stringify(fill(wire.list, {})).replace('["@ENTRIES@"]', () => JSON.stringify(entries));
    res.writeHead(200, { 'Content-Type': 'application/json', 'Content-Length': Buffer.byteLength(body) });
    res.end(body);
  });
  await new Promise((done) => listHost.listen(port.list, '127.0.0.1', done));
  const daemons = ips.map((ip, i) => {
    const role = i < controls ? 'control' : 'router';
    const id = role === 'control' ? `core-${i + 1}` : `edge-${i - controls + 1}`;
    return { id, ip, role, file: join(dir, `${id}.toml`), front: `${ip}:${port.front}`, ready: `${ip}:${port.ready}`,
      control: `${ip}:${port.control}`, zone: zones[i % 2] };
  });
  const settings = (d, { bootstrap, seeds }) => {
    const core = d.role === 'control';
    const values = {
      ID: d.id, ROLE: d.role, CLASS: core ? 'core' : 'edge', SERVES: core ? '"control"' : '"edge", "control"', IP: d.ip,
      ZONE: d.zone, FIRST: port.internal, LAST: port.last, SEEDS: seeds.map((x) => `"${x.control}"`).join(', '),
      BOOTSTRAP: bootstrap, COUNTS: core, FOLDER: join(dir, d.id), FRONT: d.front, READY: d.ready, CONTROL: d.control,
      DISK: core ? 128 : 0, LIST: `127.0.0.1:${port.list}`,
      ZONES: zones.map((z) => `${z} = "land"`).join('\n'),
    };
    // Lines that only machines with a disk, or only those that clients reach, have.
    const lines = wire.settings
      .filter((l) => !(l.startsWith('@DATA@') && !core) && !(l.startsWith('@EDGE@') && core))
      .map((l) => l.replace(/^@(DATA|EDGE)@/, '').replace(/@([A-Z]+)@/g, (_, key) => values[key]));
    return `${lines.join('\n')}\n`;
  };
  /** Writes the settings of all machines anew. */
  const rewrite = (how) => daemons.forEach((d) => writeFileSync(d.file, settings(d, how)));
  const start = (d) => {
    const [program, ...args] = command(d.role);
    const proc = spawn(program, args, {
      cwd: ROOT,
      stdio: ['ignore', 'ignore', 'pipe'],
      env: { PATH: process.env.PATH, HOME: process.env.HOME, LANG: process.env.LANG ?? 'C', [wire.environment]: d.file },
    });
    d.proc = proc;
    d.log = '';
    proc.stderr.on('data', (b) => (d.log = (d.log + b).slice(-200_000)));
    d.gone = new Promise((done) => proc.once('exit', (code, signal) => {
      d.ended = { code, signal };
      log(`process ${d.id} ended with ${code ?? signal}`);
      done();
    }));
    d.ended = null;
    log(`process ${d.id} started as ${[program, ...args].join(' ')}`);
  };
  rewrite({ bootstrap: true, seeds: daemons.slice(0, Math.min(3, controls)) });
  daemons.filter((d) => !later.includes(d.id)).forEach(start);
  // However this process ends, and after LIMIT_MS at the latest, nothing that it started is left.
  process.once('exit', () => {
    for (const d of daemons) if (d.proc && !d.ended) d.proc.kill('SIGKILL');
    rmSync(dir, { recursive: true, force: true });
  });
  for (const signal of ['SIGINT', 'SIGTERM', 'SIGHUP']) process.once(signal, () => process.exit(2));
  setTimeout(() => process.exit(2), LIMIT_MS).unref();
  const stop = async () => {
    for (const d of daemons)
      if (d.proc && !d.ended) {
        d.proc.kill('SIGCONT');
        d.proc.kill('SIGKILL');
      }
    await Promise.all(daemons.map((d) => d.gone));
    await Promise.all(hosts.map((h) => h.close()));
    await new Promise((done) => {
      listHost.close(done);
      listHost.closeAllConnections();
    });
    rmSync(dir, { recursive: true, force: true });
  };
  return { dir, daemons, cores: daemons.slice(0, controls), edges: daemons.slice(controls), servers: hosts, start, rewrite, stop };
};

/** One HTTP call; gives the status, the headers, the body and whether the answer was complete. */
export const call = (addr, { method = 'GET', path = '/', headers = {}, body, agent, ms = 15_000 }) =>
  new Promise((done) => {
    const [host, port] = addr.split(':');
    const out = { status: 0, headers: {}, body: '', whole: false, error: null };
    const req = http.request({ host, port, method, path, headers, agent: agent ?? false }, (res) => {
      out.status = res.statusCode;
      out.headers = res.headers;
      res.setEncoding('utf8');
      res.on('data', (t) => (out.body += t));
      res.on('end', () => (out.whole = res.complete));
      res.on('error', (e) => (out.error = e.code ?? e.message));
      res.on('close', () => finish());
    });
    const late = setTimeout(() => req.destroy(new Error('gave up')), ms);
    const finish = () => {
      clearTimeout(late);
      done(out);
    };
    req.on('error', (e) => {
      out.error ??= e.code ?? e.message;
      finish();
    });
    req.end(body);
  });

export const replace = (addr, base, text, ms = 10_000) =>
  call(addr, {
    method: 'POST',
    path: wire.paths.replace,
    headers: { [H.base]: String(base), 'Content-Type': 'application/json',
      'Content-Length': Buffer.byteLength(text) },
    body: text,
    ms,
  });

/** Sends the first configuration until it is taken, and waits until every router is ready. */
export const settle = async (f, text, log) => {
  const taken = await until(async () => (await replace(f.cores[0].control, 0, text)).status === 200, 20_000, 200);
  const ready = async () =>
    (await Promise.all(f.edges.map((d) => call(d.ready, { path: wire.paths.ready, ms: 1000 })))).every((r) => r.status === 200);
  const up = taken && (await until(ready, 20_000, 100));
  log(up ? 'the first configuration is taken, the routers are ready' : 'the fleet did not come up');
  return up;
};

/** What is in force, read back. */
export const readBack = (addr, ms) => call(addr, { path: wire.paths.read, ms });
/** A configuration with one route for streams; `change` goes into the route. */
export const configuration = (revision, change = {}) => {
  const form = structuredClone(wire.configuration);
  Object.assign(Object.values(form).find(Array.isArray)[0], change);
  return JSON.stringify({ ...form, revision });
};
/** What makes a route's streams resumable. */
export const resumable = wire.resumable;
/** The headers of a client's request with a prompt. */
export const asked = (id) => ({
  Host: 'one.example', [H.id]: id, [H.model]: 'm', [H.tokens]: '200,20', [H.prefix]: '5c1e07a2:150,91bd3f06:50',
  [H.deadline]: '8000',
});
