import {OperationKind, type History, type Operation} from '../history.js';
import {Guarantee, type Violation} from './violation.js';

/**
 * Checks that every answer belongs to its request, and that it is complete if
 * its outcome is `completed`.
 */
export function checkAnswers({operations}: History): Violation[] {
  return operations.flatMap(operation => {
    const message = findDefect(operation);
    if (message === undefined) return [];
    return [{guarantee: Guarantee.Answers, message, trace: [operation]}];
  });
}

function findDefect(operation: Operation): string | undefined {
  const {reply} = operation;
  if (reply === undefined) return undefined;
  const completed = reply.outcome === 'completed';
  if (completed && !reply.ended) return 'completed, but the stream did not end';
  if (reply.status === 410) return undefined;
  switch (operation.kind) {
    case OperationKind.Chat:
    case OperationKind.Resumed: {
      const expected = operation.expected ?? '';
      if (completed && reply.text !== expected) return 'incomplete answer';
      const isStream = reply.status === 200;
      if (isStream && !expected.startsWith(reply.text)) return 'wrong answer';
      return undefined;
    }
    case OperationKind.Completion:
      if (!completed) return undefined;
      return messageContentOf(reply.text) === operation.expected
        ? undefined
        : 'incomplete answer';
    case OperationKind.Lookup:
    case OperationKind.Order:
    case OperationKind.UnkeyedOrder:
      if (!completed) return undefined;
      return digestOf(reply.text) === operation.digest
        ? undefined
        : 'answer to another request';
  }
}

function messageContentOf(text: string): string | undefined {
  const answer = parse(text) as
    {choices?: Array<{message?: {content?: string}}>} | undefined;
  return answer?.choices?.[0]?.message?.content;
}

function digestOf(text: string): string | undefined {
  return (parse(text) as {digest?: string} | undefined)?.digest;
}

function parse(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
}
