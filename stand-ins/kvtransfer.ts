import type {IncomingMessage, ServerResponse} from 'node:http';
import {TOKENS_PER_BLOCK} from '../src/upstream/index.js';
import type {EngineBehaviour} from './enginebehaviour.js';
import type {PrefixCache} from './prefixcache.js';
import {readJson, sendJson} from './http.js';

/** Counts KV cache moved between engines, in blocks and bytes. */
export interface KvUsage {
  exportedBlocks: number;
  exportedBytes: number;
  importedBlocks: number;
  importedBytes: number;
}

/** Exports and imports cached blocks, of which only the sizes are real. */
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

  /** Answers which leading blocks it has, and how large they are. */
  async export(
    message: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const asked = await readBlocks(message);
    const blocks = asked.slice(0, this.cache.match(asked));
    const bytes = await this.simulateTransfer(blocks.length);
    this.usage.exportedBlocks += blocks.length;
    this.usage.exportedBytes += bytes;
    sendJson(response, 200, {blocks, bytes});
  }

  /** Stores blocks that another engine exported. */
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
