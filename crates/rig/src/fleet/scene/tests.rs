//! Tests of `scene`.

use super::*;

#[test]
fn draws_one_scene_per_seed_and_parses_documents() {
    assert_eq!(FleetScene::draw(5), FleetScene::draw(5));
    assert_ne!(FleetScene::draw(5).acts, FleetScene::draw(6).acts);
    for text in ["", "scene \"a\"", "scene \"a\" size=3 { at 1 { cut 0 3; }; }", "scene \"a\" size=99"] {
        assert!(FleetScene::parse(text).is_err(), "{text}");
    }
    let text = "scene \"a\" size=3 seed=7 { at 10 { stall 1 500; link 0 1 loss=0.5 half-open=#true; }; }";
    let scene = FleetScene::parse(text).expect("a scene");
    assert_eq!(scene.acts[0], (10.0, FleetAct::Stall(1, 500.0)));
    assert!(matches!(scene.acts[1].1, FleetAct::Link(0, 1, LinkQuality { half_open: true, .. })));
}
