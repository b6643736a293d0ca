package org.cornelramp.bench.demo;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.apache.commons.cli.CommandLine;
import org.cornelramp.bench.BenchCommand;
import org.cornelramp.bench.BenchContext;
import org.cornelramp.bench.fleet.Fleet;
import org.cornelramp.bench.fleet.FleetException;
import org.cornelramp.bench.fleet.FleetPlan;
import org.cornelramp.bench.fleet.JsonHttp;
import org.cornelramp.bench.fleet.ManagedProcess;
import org.cornelramp.bench.fleet.Member;
import org.cornelramp.bench.load.CallEnd;
import org.cornelramp.bench.load.Callers;
import org.cornelramp.bench.load.ChatCall;
import org.cornelramp.bench.load.ExpectedText;
import org.cornelramp.bench.load.Sample;

/**
 * {@code demo}: shows a streamed model request over three stages, a booking with a minted ticket, a table edit that
 * both entries show, a stage that is killed during a request, the layer trace, and a planned stop of all daemons.
 * Stateless.
 */
public final class DemoCommand implements BenchCommand {
    private static final int LAYERS = 24;
    private static final int LONG_ANSWER = 300;
    private static final long DEADLINE_MILLIS = 30_000;
    private static final long BEFORE_KILL_MILLIS = 700;
    private static final Duration STOP_LIMIT = Duration.ofSeconds(20);

    @Override
    public String name() {
        return "demo";
    }

    @Override
    public int run(BenchContext context, CommandLine line) throws Exception {
        say("starting the platform's stand-ins, 2 entries, 6 stages and 2 booking services");
        try (Fleet fleet = Fleet.start(context.home(), FleetPlan.small());
                Callers callers = callers(fleet)) {
            streamOneAnswer(callers);
            bookTwice(fleet);
            editTheTable(context, fleet);
            killAStage(fleet, callers);
            stopEverything(fleet);
        }
        say("done");
        return 0;
    }

    private static Callers callers(Fleet fleet) {
        List<String> urls = fleet.entries().stream().map(Member::url).toList();
        return new Callers(urls, Fleet::callerKey, new ExpectedText(LAYERS));
    }

    private static void streamOneAnswer(Callers callers) throws Exception {
        Sample sample = ask(callers, "a sofa and two chairs", 40).get(DEADLINE_MILLIS, TimeUnit.MILLISECONDS);
        check(sample.end() == CallEnd.IN_TIME, "the streamed answer was " + sample);
        say("streamed 40 tokens over three stages, equal to an undisturbed run; first token after "
                + (sample.firstNanos() - sample.plannedNanos()) / 1_000_000 + " ms");
    }

    private static void bookTwice(Fleet fleet) {
        Member first = fleet.entries().get(0);
        Member second = fleet.entries().get(1);
        Map<String, String> caller = Map.of("Authorization", "Bearer " + Fleet.callerKey(0));
        JsonHttp.Answer minted =
                fleet.http().send("POST", first.url() + "/v1/keys", caller, "{\"service\":\"booking\"}");
        String key = fleet.http().read(minted.body()).path("key").asText();
        JsonHttp.Answer one = book(fleet, first, key);
        JsonHttp.Answer two = book(fleet, second, key);
        check(one.status() == 200 && one.body().equals(two.body()), "the booking gave " + one + " and " + two);
        say("booked with one ticket at both entries: the same answer twice, effects=" + effects(fleet, key));
        check(effects(fleet, key) == 1, "the booking took effect more than once");
    }

    private static JsonHttp.Answer book(Fleet fleet, Member entry, String key) {
        Map<String, String> caller = Map.of("Authorization", "Bearer " + Fleet.callerKey(0), "Idempotency-Key", key);
        return fleet.http().send("POST", entry.url() + "/services/booking/pickups", caller, "{\"item\":\"sofa\"}");
    }

    private static long effects(Fleet fleet, String key) {
        long effects = 0;
        for (Member service : fleet.services()) {
            for (var event : fleet.trace(service.backendUrl())) {
                effects += event.path("key").asText().equals(key) ? 1 : 0;
            }
        }
        return effects;
    }

    private static void editTheTable(BenchContext context, Fleet fleet) {
        CommandLineTool tool =
                new CommandLineTool(context.home(), fleet.entries().get(0).url());
        say(tool.run("table", "set", "org-1", FleetPlan.MODEL, "weight=40", "priority=2", "--wait")
                .strip());
        for (Member entry : fleet.entries()) {
            String seen =
                    new CommandLineTool(context.home(), entry.url()).run("table", "get", "org-1", FleetPlan.MODEL);
            check(seen.contains("40"), entry.name() + " shows " + seen);
            say("the table at " + entry.name() + ":\n" + seen.strip());
        }
    }

    private static void killAStage(Fleet fleet, Callers callers) throws Exception {
        List<Member> middle = List.of(fleet.member("stage-1"), fleet.member("stage-4"));
        List<Integer> before = middle.stream().map(stage -> runs(fleet, stage)).toList();
        CompletableFuture<Sample> answer = ask(callers, "two wardrobes from the third floor", LONG_ANSWER);
        Thread.sleep(BEFORE_KILL_MILLIS);
        Member victim = runs(fleet, middle.get(0)) > before.get(0) ? middle.get(0) : middle.get(1);
        victim.daemon().kill();
        victim.backend().orElseThrow().kill();
        check(!answer.isDone(), "the answer ended before the stage was killed");
        Sample sample = answer.get(DEADLINE_MILLIS, TimeUnit.MILLISECONDS);
        check(sample.end() == CallEnd.IN_TIME && sample.attempts() == 1, "the answer over the kill was " + sample);
        say("killed " + victim.name() + " in mid-answer; the caller got all " + sample.tokens()
                + " tokens, each once, in one stream. What the engines still there ran for it:");
        List<Member> alive = new ArrayList<>(fleet.stages());
        alive.remove(victim);
        LayerTrace.ofNewest(fleet, alive).lines().forEach(text -> say("  " + text));
    }

    private static int runs(Fleet fleet, Member stage) {
        return fleet.trace(stage.backendUrl()).size();
    }

    private static CompletableFuture<Sample> ask(Callers callers, String content, int tokens) {
        CompletableFuture<Sample> sample = new CompletableFuture<>();
        callers.chat(new ChatCall(0, 0, content, tokens, DEADLINE_MILLIS), System.nanoTime(), sample::complete);
        return sample;
    }

    private static void stopEverything(Fleet fleet) {
        List<ManagedProcess> daemons = fleet.members().stream()
                .map(Member::daemon)
                .filter(ManagedProcess::isAlive)
                .toList();
        daemons.forEach(ManagedProcess::terminate);
        for (ManagedProcess daemon : daemons) {
            check(daemon.awaitEnd(STOP_LIMIT), daemon.name() + " did not stop:\n" + daemon.readOutput());
            check(
                    daemon.exitCode() == 0,
                    daemon.name() + " ended with " + daemon.exitCode() + ":\n" + daemon.readOutput());
        }
        say("stopped " + daemons.size() + " daemons, each with exit status 0");
    }

    private static void check(boolean holds, String failure) {
        if (!holds) {
            throw new FleetException("Unexpected result: " + failure);
        }
    }

    private static void say(String text) {
        System.out.println(text);
    }
}
