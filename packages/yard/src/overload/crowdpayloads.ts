import { SampleCall } from '@pumicebarrow/platform';

const MIB = 1024 * 1024;
/** The deadline of a client whose whole body is to be served, however long a busy machine takes to read it. */
const PATIENT_MS = 120_000;
const PIECE_BYTES = 64 * 1024;
/** So many one-byte chunks are written at once. */
const TINY_CHUNKS_PER_WRITE = 4096;

const requestLine = (method: string, path: string): string => `${method} ${path} HTTP/1.1\r\n`;
/** The head of a request that an ordinary client might send, with a header more that says how its body comes. */
const head = (method: string, path: string, bodyHeader: string, deadlineMs?: number): Buffer => {
  const fields = SampleCall.headers('crowd', 2000, 3, deadlineMs);
  const headers = Object.entries(fields).map(([name, value]) => `${name}: ${value}\r\n`);
  return Buffer.from(`${requestLine(method, path)}${headers.join('')}${bodyHeader}\r\n`);
};
const chunk = (bytes: number): Buffer =>
  Buffer.concat([Buffer.from(`${bytes.toString(16)}\r\n`), Buffer.alloc(bytes, 'x'), Buffer.from('\r\n')]);
/** JSON of about so many bytes, whose values take far more memory than its text. */
const nested = (bytes: number): Buffer => Buffer.from(`[${'{},'.repeat(Math.floor(bytes / 3) - 1)}{}]`);

/** What clients that don't behave send on one connection. */
export const CrowdPayloads = {
  mib: MIB,
  /** A chunked body of so many bytes in large chunks, without its end. */
  *largeChunks(path: string, bytes: number): Iterable<Uint8Array> {
    yield head('POST', path, 'Transfer-Encoding: chunked\r\n');
    const piece = chunk(PIECE_BYTES);
    for (let sent = 0; sent < bytes; sent += PIECE_BYTES) yield piece;
  },
  /** A chunked body of so many bytes in chunks of one byte, without its end. */
  *tinyChunks(path: string, bytes: number, deadlineMs?: number): Iterable<Uint8Array> {
    yield head('POST', path, 'Transfer-Encoding: chunked\r\n', deadlineMs);
    const piece = Buffer.from('1\r\nx\r\n'.repeat(TINY_CHUNKS_PER_WRITE));
    for (let sent = 0; sent < bytes; sent += TINY_CHUNKS_PER_WRITE) yield piece;
  },
  /** A whole request of an ordinary client, with a body of so many bytes in chunks of one byte. */
  *tinyBody(path: string, bytes: number): Iterable<Uint8Array> {
    yield* CrowdPayloads.tinyChunks(path, bytes, PATIENT_MS);
    yield Buffer.from('0\r\n\r\n');
  },
  /** A body of a told length, of which the last byte is missing. */
  *announcedBody(path: string, announced: number, sent: number): Iterable<Uint8Array> {
    yield head('POST', path, `Content-Length: ${announced}\r\n`);
    const piece = Buffer.alloc(PIECE_BYTES, 'x');
    for (let n = 0; n < sent; n += PIECE_BYTES) yield piece;
  },
  /** A head of so many bytes, without its end. */
  *endlessHead(path: string, bytes: number): Iterable<Uint8Array> {
    yield Buffer.from(requestLine('POST', path));
    const piece = Buffer.from('x-a: b\r\n'.repeat(1024));
    for (let sent = 0; sent < bytes; sent += piece.length) yield piece;
  },
  /** So many requests without a body, one after the other, at a path. */
  *requestsAhead(method: string, path: string, requests: number): Iterable<Uint8Array> {
    const one = head(method, path, method === 'GET' ? '' : 'Content-Length: 0\r\n');
    const many = Buffer.concat(Array.from({ length: 64 }, () => one));
    for (let sent = 0; sent < requests; sent += 64) yield many;
  },
  /** One request of an ordinary client whose answer has so many events. */
  *oneRequest(path: string, events: number): Iterable<Uint8Array> {
    const headers = { ...SampleCall.headers('crowd', 2000, events), 'content-length': '1' };
    const lines = Object.entries(headers).map(([name, value]) => `${name}: ${value}\r\n`);
    yield Buffer.from(`${requestLine('POST', path)}${lines.join('')}\r\nx`);
  },
  /** A line of the daemons' own protocol of so many bytes, without its end. */
  *endlessLine(bytes: number): Iterable<Uint8Array> {
    yield Buffer.from('{"n":1,"re":"');
    const piece = Buffer.alloc(PIECE_BYTES, 'x');
    for (let sent = 0; sent < bytes; sent += PIECE_BYTES) yield piece;
  },
  /** A line of the daemons' own protocol whose values take far more memory than its text. */
  *nestedLine(bytes: number): Iterable<Uint8Array> {
    const body = nested(bytes);
    yield Buffer.from('{"n":1,"re":');
    for (let at = 0; at < body.length; at += PIECE_BYTES) yield body.subarray(at, at + PIECE_BYTES);
    yield Buffer.from('}\n');
  },
  /** So many questions of an operator in the daemons' own protocol. */
  *statusQueries(questions: number): Iterable<Uint8Array> {
    const from = { id: 'crowd', born: 'b', addr: '127.0.0.1:9', site: 'north', role: 'counter' };
    const mail = { v: 5, to: '', from, kind: 'status.tell', body: { servers: true } };
    const many = Buffer.from(`${JSON.stringify({ n: 1, mail })}\n`.repeat(64));
    for (let sent = 0; sent < questions; sent += 64) yield many;
  },
  /** A whole configuration in name only: JSON whose values take far more memory than its text. */
  *nestedJson(path: string, bytes: number): Iterable<Uint8Array> {
    const body = nested(bytes);
    yield head('POST', path, `${SampleCall.base}: 0\r\nContent-Length: ${body.length}\r\n`);
    for (let at = 0; at < body.length; at += PIECE_BYTES) yield body.subarray(at, at + PIECE_BYTES);
  },
};
