/**
 * In-memory log service with the HTTP protocol of docs/design.md, section 5.1,
 * that injects faults.
 */
import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from 'node:http';
import type {AddressInfo} from 'node:net';

/** Fault that replaces or delays the normal answer to one request. */
export type Fault =
  | {kind: 'answer'; status: number; body: string}
  /** No answer; an append takes effect when `applies` is set. */
  | {kind: 'silent'; applies: boolean}
  /** The connection breaks; an append takes effect when `applies` is set. */
  | {kind: 'reset'; applies: boolean}
  | {kind: 'slow'; delayMs: number};

/** Answer of a log service that is not available. */
export const OUTAGE: Fault = {kind: 'answer', status: 503, body: '{}'};

/** Method and query of a request; missing numbers are 0. */
interface Call {
  method: string;
  from: number;
  limit: number;
  waitMs: number;
}

/** One stream of the log service, over HTTP on a free port. */
export class FakeLog {
  /** Records that have not expired; the first one has the offset `first`. */
  records: unknown[] = [];
  first = 1;
  /** Faults of the next requests by method; each is used once, in order. */
  readonly queuedFaults: {POST: Fault[]; GET: Fault[]} = {POST: [], GET: []};
  /** Fault of every request while not null; overrides `queuedFaults`. */
  persistentFault: Fault | null = null;
  readonly calls: Call[] = [];
  private readonly server: Server;
  private readonly wakeLongPolls = new Set<() => void>();

  private constructor() {
    this.server = createServer((request, response) => {
      void this.handle(request, response);
    });
  }

  static async start(): Promise<FakeLog> {
    const fake = new FakeLog();
    await new Promise<void>(done => {
      fake.server.listen(0, '127.0.0.1', done);
    });
    return fake;
  }

  get endpoint(): string {
    const {port} = this.server.address() as AddressInfo;
    return `http://127.0.0.1:${port}`;
  }

  /** Offset of the next record to be appended. */
  get next(): number {
    return this.first + this.records.length;
  }

  /** Appends a record, wakes the long polls and returns the record's offset. */
  append(record: unknown): number {
    this.records.push(record);
    for (const wake of [...this.wakeLongPolls]) wake();
    return this.next - 1;
  }

  /** Removes the records before an offset, as retention does. */
  expireBefore(first: number): void {
    this.records.splice(0, first - this.first);
    this.first = first;
  }

  async close(): Promise<void> {
    this.server.closeAllConnections();
    await new Promise(done => this.server.close(done));
  }

  private async handle(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const method = request.method as 'GET' | 'POST';
    const url = new URL(request.url!, 'http://log');
    const numberParameter = (name: string) =>
      Number(url.searchParams.get(name));
    const [from, limit] = [numberParameter('from'), numberParameter('limit')];
    const waitMs = numberParameter('waitMs');
    this.calls.push({method, from, limit, waitMs});
    const body: Buffer[] = [];
    for await (const chunk of request) body.push(chunk as Buffer);
    const text = Buffer.concat(body).toString();
    const fault = this.persistentFault ?? this.queuedFaults[method].shift();
    const append = () => this.append(JSON.parse(text).record);
    if (fault?.kind === 'slow') {
      await new Promise(done => setTimeout(done, fault.delayMs));
    } else if (fault?.kind === 'answer') {
      response.writeHead(fault.status).end(fault.body);
      return;
    } else if (fault !== undefined) {
      if (method === 'POST' && fault.applies) append();
      if (fault.kind === 'reset') request.socket.destroy();
      return;
    }
    if (method === 'POST') {
      response.writeHead(201).end(JSON.stringify({offset: append()}));
      return;
    }
    if (from === this.next) await this.waitForRecord(waitMs);
    this.answerRead(response, from, limit);
  }

  private answerRead(response: ServerResponse, from: number, limit: number) {
    const {first} = this;
    if (from < first) {
      response.writeHead(410).end(JSON.stringify({first}));
      return;
    }
    const start = from - first;
    const records = this.records
      .slice(start, start + limit)
      .map((record, index) => ({offset: from + index, record}));
    const next = from + records.length;
    response.writeHead(200).end(JSON.stringify({first, next, records}));
  }

  private async waitForRecord(waitMs: number): Promise<void> {
    await new Promise<void>(done => {
      const finish = () => {
        clearTimeout(timer);
        this.wakeLongPolls.delete(finish);
        done();
      };
      const timer = setTimeout(finish, waitMs);
      this.wakeLongPolls.add(finish);
    });
  }
}
