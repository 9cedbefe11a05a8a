import type {IncomingMessage, ServerResponse} from 'node:http';
import {TOKENS_PER_BLOCK} from '../src/upstream/index.js';
import type {EngineBehaviour} from './enginebehaviour.js';
import type {PrefixCache} from './prefixcache.js';
import {readJson, sendJson} from './http.js';

/** KV cache that an engine has exported and imported so far. */
export interface KvUsage {
  exportedBlocks: number;
  exportedBytes: number;
  importedBlocks: number;
  importedBytes: number;
}

/**
 * Simulates the export and import of cached blocks: only hashes and sizes are
 * transferred, and each call takes as long as a real transfer would.
 */
export class KvTransfer {
  readonly usage: KvUsage = {
    exportedBlocks: 0,
    exportedBytes: 0,
    importedBlocks: 0,
    importedBytes: 0,
  };

  constructor(
    private readonly behaviour: EngineBehaviour,
    private readonly cache: PrefixCache,
  ) {}

  /** Answers which leading blocks of the request are cached, and their size. */
  async export(
    message: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const requested = await readBlocks(message);
    const blocks = requested.slice(0, this.cache.match(requested));
    const bytes = await this.simulateTransfer(blocks.length);
    this.usage.exportedBlocks += blocks.length;
    this.usage.exportedBytes += bytes;
    sendJson(response, 200, {blocks, bytes});
  }

  /** Adds blocks that another engine exported to the prefix cache. */
  async import(
    message: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const blocks = await readBlocks(message);
    const bytes = await this.simulateTransfer(blocks.length);
    this.cache.store(blocks);
    this.usage.importedBlocks += blocks.length;
    this.usage.importedBytes += bytes;
    sendJson(response, 200, {blocks, bytes});
  }

  /** Waits for the duration of a transfer, and returns its size in bytes. */
  private async simulateTransfer(blocks: number): Promise<number> {
    const bytes = blocks * TOKENS_PER_BLOCK * this.behaviour.kvBytesPerToken;
    const delayMs = bytes / this.behaviour.kvBytesPerMs;
    await new Promise(resolve => setTimeout(resolve, delayMs));
    return bytes;
  }
}

async function readBlocks(message: IncomingMessage): Promise<string[]> {
  const {blocks} = await readJson(message);
  return Array.isArray(blocks) ? blocks.map(String) : [];
}
