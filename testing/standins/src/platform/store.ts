/**
 * Stand-in for the platform's metadata store: append-only topics of keyed
 * records, each with one partition.
 */
import type {IncomingMessage, ServerResponse} from 'node:http';
import {HttpEndpoint, sendJson} from '../utils/http-endpoint.js';
import type {Address, ListenOptions} from '../utils/http-endpoint.js';

/** Size of the length prefix of a framed record. */
const LENGTH_PREFIX_BYTES = 4;
const DEFAULT_PAGE_SIZE = 500;

/** Faults of the store. */
export type StoreFault =
  | 'none'
  /** Calls are answered with 503 and have no effect. */
  | 'busy'
  /** Calls get no answer and have no effect. */
  | 'silent'
  /** The connection is reset and the call has no effect. */
  | 'reset'
  /** Appends take effect, but their connection is reset before the answer. */
  | 'lose-answers';

interface StoredRecord {
  readonly key: string;
  readonly value: Buffer;
}

interface Topic {
  /** Lowest offset that can be read; earlier history is compacted. */
  firstOffset: number;
  /** All records; the index of a record is its offset. */
  readonly records: StoredRecord[];
  /** Callbacks that end the long polls of the topic. */
  readonly waiting: Set<() => void>;
}

/** A call that the store has answered. */
export interface StoreCall {
  readonly path: string;
  readonly topic: string;
  readonly status: number;
}

/** Keeps topics of keyed records in memory and serves them over HTTP. */
export class PlatformStore {
  /** Fault of the calls whose body has been received from now on. */
  fault: StoreFault = 'none';
  /** Maximum number of records in a page of the newest records. */
  pageSize = DEFAULT_PAGE_SIZE;
  /** All answered calls in the order of their answers. */
  readonly calls: StoreCall[] = [];
  readonly #topics = new Map<string, Topic>();
  readonly #endpoint = new HttpEndpoint((request, response) =>
    this.#serve(request, response),
  );

  /**
   * Starts to listen.
   *
   * @param options - Address to listen on.
   * @returns The address in use.
   */
  start(options: ListenOptions = {}): Promise<Address> {
    return this.#endpoint.start(options);
  }

  /** Stops listening and destroys every connection. */
  close(): Promise<void> {
    return this.#endpoint.close();
  }

  /**
   * Appends a record directly, bypassing the HTTP interface and the fault.
   *
   * @param topicName - Name of the topic.
   * @param key - Key of the record.
   * @param value - Value of the record; an empty one deletes the key.
   * @returns Offset of the record.
   */
  put(topicName: string, key: string, value: string | Buffer): number {
    return this.#append(this.#topic(topicName), key, Buffer.from(value));
  }

  /**
   * Makes all present offsets of a topic unreadable, as log compaction does.
   * The newest record of each key remains available through `/api/log-newest`.
   *
   * @param topicName - Name of the topic.
   */
  compact(topicName: string): void {
    const topic = this.#topic(topicName);
    topic.firstOffset = topic.records.length;
  }

  /**
   * Lists the values of all records of a topic.
   *
   * @param topicName - Name of the topic.
   * @returns Values in the order of their offsets.
   */
  values(topicName: string): Buffer[] {
    return this.#topic(topicName).records.map(({value}) => value);
  }

  /**
   * Counts the records that were ever appended to a topic.
   *
   * @param topicName - Name of the topic.
   * @returns The offset of the next record.
   */
  topicEndOffset(topicName: string): number {
    return this.#topic(topicName).records.length;
  }

  async #serve(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const url = new URL(request.url ?? '/', 'http://store');
    const chunks: Buffer[] = [];
    for await (const chunk of request) chunks.push(chunk as Buffer);
    response.on('finish', () =>
      this.calls.push({
        path: url.pathname,
        topic: url.searchParams.get('topic') ?? '',
        status: response.statusCode,
      }),
    );
    if (this.fault === 'silent') return;
    if (this.fault === 'reset') {
      request.socket.resetAndDestroy();
      return;
    }
    if (this.fault === 'busy') {
      sendJson(response, 503, {});
      return;
    }
    const topic = this.#topic(url.searchParams.get('topic') ?? '');
    const body = Buffer.concat(chunks);
    if (url.pathname === '/api/log-append') {
      this.#serveAppend(topic, url, body, request, response);
    } else if (url.pathname === '/api/log-read') {
      await this.#serveRead(topic, url, response);
    } else if (url.pathname === '/api/log-newest') {
      this.#serveNewest(topic, url, response);
    } else {
      sendJson(response, 404, {});
    }
  }

  /**
   * Appends the framed records of a body. With `as_of`, it appends only if this
   * is the end of the topic, and answers 412 with the end otherwise.
   */
  #serveAppend(
    topic: Topic,
    url: URL,
    body: Buffer,
    request: IncomingMessage,
    response: ServerResponse,
  ): void {
    const asOf = url.searchParams.get('as_of');
    const end = topic.records.length;
    if (asOf !== null && Number(asOf) !== end) {
      sendJson(response, 412, {end});
      return;
    }
    const offset = end;
    for (let position = 0; position < body.length;) {
      const length = body.readUInt32BE(position);
      const content = body.subarray(
        position + LENGTH_PREFIX_BYTES,
        position + LENGTH_PREFIX_BYTES + length,
      );
      const keyEnd = 1 + content.readUInt8(0);
      const key = content.toString('utf8', 1, keyEnd);
      this.#append(topic, key, Buffer.from(content.subarray(keyEnd)));
      position += LENGTH_PREFIX_BYTES + length;
    }
    if (this.fault === 'lose-answers') request.socket.resetAndDestroy();
    else sendJson(response, 200, {offset, end: topic.records.length});
  }

  /**
   * Answers with the records from offset `from` on, after it has waited up to
   * `wait_ms` for one. Answers 410 when `from` was compacted.
   */
  async #serveRead(
    topic: Topic,
    url: URL,
    response: ServerResponse,
  ): Promise<void> {
    const from = Number(url.searchParams.get('from'));
    // Like the platform's store, does not wait if this is not a whole number.
    const waitText = url.searchParams.get('wait_ms') ?? '';
    const waitMs = /^\d+$/.test(waitText) ? Number(waitText) : 0;
    if (from < topic.firstOffset) {
      sendJson(response, 410, {first: topic.firstOffset});
      return;
    }
    if (from >= topic.records.length && waitMs > 0) {
      await new Promise<void>(resolve => {
        const wake = () => {
          clearTimeout(timer);
          topic.waiting.delete(wake);
          resolve();
        };
        const timer = setTimeout(wake, waitMs);
        topic.waiting.add(wake);
      });
    }
    // The header holds the offset of the next record and the lowest offset that
    // can be read.
    const header = Buffer.alloc(16);
    header.writeBigUInt64BE(BigInt(topic.records.length), 0);
    header.writeBigUInt64BE(BigInt(topic.firstOffset), 8);
    const frames = topic.records.slice(from).map(encodeFrame);
    response.writeHead(200).end(Buffer.concat([header, ...frames]));
  }

  /**
   * Answers with a page of the newest records of the keys after `after`, in the
   * order of the keys and without deleted ones.
   */
  #serveNewest(topic: Topic, url: URL, response: ServerResponse): void {
    const newest = new Map<string, {offset: number; value: Buffer}>();
    for (const [offset, {key, value}] of topic.records.entries()) {
      newest.delete(key);
      if (value.length > 0) newest.set(key, {offset, value});
    }
    const after = url.searchParams.get('after');
    const keys = [...newest.keys()]
      .sort()
      .filter(key => after === null || key > after);
    const items = keys.slice(0, this.pageSize).map(key => ({
      key,
      value: newest.get(key)!.value.toString('base64'),
      offset: newest.get(key)!.offset,
    }));
    sendJson(response, 200, {
      items,
      has_more: keys.length > items.length,
      end: topic.records.length,
    });
  }

  #append(topic: Topic, key: string, value: Buffer): number {
    topic.records.push({key, value});
    for (const wake of [...topic.waiting]) wake();
    return topic.records.length - 1;
  }

  #topic(name: string): Topic {
    let topic = this.#topics.get(name);
    if (topic === undefined) {
      topic = {firstOffset: 0, records: [], waiting: new Set()};
      this.#topics.set(name, topic);
    }
    return topic;
  }
}

/** Encodes a record as the length of the rest, key length, key and value. */
function encodeFrame({key, value}: StoredRecord): Buffer {
  const keyBytes = Buffer.from(key);
  const header = Buffer.alloc(LENGTH_PREFIX_BYTES + 1);
  header.writeUInt32BE(1 + keyBytes.length + value.length, 0);
  header.writeUInt8(keyBytes.length, LENGTH_PREFIX_BYTES);
  return Buffer.concat([header, keyBytes, value]);
}
