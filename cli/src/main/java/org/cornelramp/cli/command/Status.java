package org.cornelramp.cli.command;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;
import org.apache.commons.cli.CommandLine;
import org.cornelramp.cli.CliException;
import org.cornelramp.cli.ExitCode;
import org.cornelramp.core.operate.StatusDocument;

/** Shows the status that each entry reports of itself, the agents and the platform. Stateless. */
public final class Status implements Command {
    private static final String INDENT = "  ";

    @Override
    public String name() {
        return "status";
    }

    @Override
    public String summary() {
        return "show VMs, backend servers, links, drains and the state of the log as each entry reports them";
    }

    @Override
    public ExitCode run(CommandContext context, CommandLine line) throws CliException {
        List<StatusDocument> statuses = new ArrayList<>();
        List<String> unanswered = new ArrayList<>();
        for (String url : context.entryClient().liveEntryUrls()) {
            context.entryClient()
                    .getFrom(url, "status", StatusDocument.class)
                    .ifPresentOrElse(statuses::add, () -> unanswered.add(url));
        }
        if (context.json()) {
            context.printJson(statuses);
        } else {
            statuses.forEach(status -> print(context, status));
        }
        unanswered.forEach(url -> context.progress().println("no answer from " + url));
        return unanswered.isEmpty() ? ExitCode.DONE : ExitCode.UNREACHABLE;
    }

    private static void print(CommandContext context, StatusDocument status) {
        context.out().println("entry " + status.entry() + (status.ready() ? ": ready" : ": not ready"));
        status.reasons().forEach(reason -> context.out().println(INDENT + reason));
        status.sections().forEach((name, section) -> printNode(context, INDENT, name, section));
    }

    /** Prints the scalar fields of an object on one line, and nested objects and arrays below it, indented. */
    private static void printNode(CommandContext context, String indent, String name, JsonNode node) {
        if (node.isValueNode()) {
            context.out().println(indent + name + "=" + node.asText());
            return;
        }
        StringBuilder scalars = new StringBuilder();
        node.properties().forEach(field -> {
            if (field.getValue().isValueNode() && !field.getValue().asText().isEmpty()) {
                scalars.append(' ')
                        .append(field.getKey())
                        .append('=')
                        .append(field.getValue().asText());
            }
        });
        context.out().println(indent + name + scalars);
        node.properties().forEach(field -> {
            if (field.getValue().isContainerNode()) {
                printNode(context, indent + INDENT, field.getKey(), field.getValue());
            }
        });
        for (int i = 0; node.isArray() && i < node.size(); i++) {
            printNode(context, indent + INDENT, Integer.toString(i), node.get(i));
        }
    }
}
